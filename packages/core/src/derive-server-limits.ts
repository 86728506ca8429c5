import type { ServerLimits } from "./server-limits.js";

const Megabyte = 1024 * 1024;
/** The smallest VM of the deployments. */
const DefaultMemoryMb = 250;
const DefaultFileDescriptors = 4_100;
/** Heap of the processes (deploy/system.toml). */
const HeapMb = 128;
/** Descriptors that are kept free for files. */
const ReservedDescriptors = 200;
/** Bodies are outside the heap; the rest of that memory is for the program, its stack and buffers of sockets. */
const BodyShare = 1 / 4;
const MinBodyBytes = 4 * Megabyte;
const MaxBodyBytes = 64 * Megabyte;
/** A request occupies up to 50 KB of heap: two copies of 16 KB of headers, and its streams. */
const HeapPerRequestKb = 64;
/** Least number of connections, and of open requests, of a server with a small share. */
const MinConnections = 16;

/** Resources of a VM that a server may use a part of. */
interface ServerResources {
    readonly memoryMb?: number | undefined;
    readonly fileDescriptors?: number | undefined;
    /** Share of the descriptors and of the memory for bodies, above 0 and at most 1. */
    readonly share?: number;
}

/**
 * Derives the limits of a server from the resources of its VM. The times follow from the operators' limits for callers:
 * 15 s idle, 3 s for headers, and 60 s as the longest time that a caller may wait for its response, each with 1 s of
 * margin. `headerMs` is 15 s, 3 s and the margin, since a caller may open a connection and stay idle.
 */
export const deriveServerLimits = ({
    memoryMb = DefaultMemoryMb,
    fileDescriptors = DefaultFileDescriptors,
    share = 1,
}: ServerResources): ServerLimits => {
    const descriptors = Math.max(0, fileDescriptors - ReservedDescriptors);
    const bodyBytes = Math.max(0, memoryMb - HeapMb) * Megabyte * BodyShare * share;
    return {
        connections: Math.max(MinConnections, Math.floor(descriptors * share)),
        requests: Math.max(MinConnections, Math.floor((HeapMb * 1024 * share) / HeapPerRequestKb)),
        requestsPerConnection: 16,
        bodyBytes: Math.floor(Math.min(MaxBodyBytes, Math.max(MinBodyBytes, bodyBytes))),
        bodyIdleMs: 16_000,
        bodyMs: 61_000,
        headerMs: 19_000,
        responseIdleMs: 16_000,
    };
};
