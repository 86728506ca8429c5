import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { Socket } from "node:net";
import { LatencyRecorder } from "@samphireward/core/latency-recorder";
import type { WorkerStats } from "./worker-stats.js";

/** Maximum numbers of concurrent requests and of open connections. */
interface ServiceLimits {
    readonly slots: number;
    readonly connections: number;
}

/**
 * Service port of a stand-in worker. Each request occupies one slot for `?ms=` milliseconds and is answered with
 * `?bytes=` bytes that start with the request's id. A request that finds no free slot is refused as not run.
 */
export class ServicePort {
    isLeaving = false;
    /** Requests are answered with status 500; set by a fault command. */
    failRequests = false;
    readonly server: Server;

    private slotsInUse = 0;
    private readonly latencies = LatencyRecorder.create();
    private readonly openConnections = new Set<Socket>();
    private readonly silencedConnections = new WeakSet<Socket>();

    private constructor(
        private readonly limits: ServiceLimits,
        private readonly stats: WorkerStats,
    ) {
        this.server = createServer((req, res) => this.handleRequest(req, res));
        this.server.on("connection", socket => this.acceptConnection(socket));
    }

    static create(limits: ServiceLimits, stats: WorkerStats): ServicePort {
        return new ServicePort(limits, stats);
    }

    usage(): { slotsInUse: number; p99Ms: number } {
        const p99Ms = this.latencies.count === 0 ? 0 : this.latencies.percentileMs(99);
        return { slotsInUse: this.slotsInUse, p99Ms };
    }

    /** Stops answering on the connections that are open now; new connections are not affected. */
    silenceOpenConnections(): void {
        for (const socket of this.openConnections) {
            this.silencedConnections.add(socket);
        }
    }

    private acceptConnection(socket: Socket): void {
        if (this.openConnections.size >= this.limits.connections) {
            this.stats.overConnectionRefusals += 1;
            socket.destroy();
            return;
        }
        this.openConnections.add(socket);
        socket.on("close", () => this.openConnections.delete(socket));
        socket.on("error", () => socket.destroy());
    }

    private handleRequest(req: IncomingMessage, res: ServerResponse): void {
        req.resume();
        if (this.silencedConnections.has(req.socket)) {
            return;
        }
        if (this.isLeaving) {
            res.setHeader("samphireward-leaving", "1");
            res.setHeader("connection", "close");
        }
        const url = new URL(req.url ?? "/", "http://worker");
        if (url.pathname === "/health") {
            res.writeHead(this.isLeaving ? 503 : 200).end();
        } else if (this.slotsInUse >= this.limits.slots) {
            this.stats.overSlotRefusals += 1;
            res.writeHead(503, { "samphireward-not-run": "1" }).end();
        } else {
            this.runRequest(req, res, url.searchParams);
        }
    }

    private runRequest(req: IncomingMessage, res: ServerResponse, query: URLSearchParams): void {
        const id = String(req.headers["samphireward-request-id"] ?? "");
        this.stats.requests[id] = (this.stats.requests[id] ?? 0) + 1;
        this.slotsInUse += 1;
        const startMs = performance.now();
        const finish = (): void => {
            this.slotsInUse -= 1;
            this.latencies.record(performance.now() - startMs);
            const status = this.failRequests ? 500 : 200;
            const bytes = Number(query.get("bytes") ?? 0);
            if (!this.silencedConnections.has(req.socket)) {
                res.writeHead(status, { "content-type": "text/plain" }).end(id.padEnd(bytes, "."));
            }
        };
        setTimeout(finish, Number(query.get("ms") ?? 0));
    }
}
