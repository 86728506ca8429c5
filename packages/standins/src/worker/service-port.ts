import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { Socket } from "node:net";
import { LatencyRecorder } from "@samphireward/core/latency-recorder";
import type { WorkerStats } from "./worker-stats.js";

/** Limits of the service port. */
interface ServiceLimits {
    readonly slots: number;
    readonly connections: number;
}

/**
 * The service's port of a stand-in worker: each request takes one slot for `?ms=` milliseconds and answers
 * `?bytes=` bytes that start with the request's id. A request over the slots is refused as not run.
 */
export class ServicePort {
    leaving = false;
    /** Requests answer 500; set by a fault command. */
    failRequests = false;
    readonly server: Server;

    private slotsInUse = 0;
    private readonly latencies = LatencyRecorder.create();
    private readonly open = new Set<Socket>();
    private readonly silent = new WeakSet<Socket>();

    private constructor(
        private readonly limits: ServiceLimits,
        private readonly stats: WorkerStats,
    ) {
        this.server = createServer((req, res) => this.handle(req, res));
        this.server.on("connection", socket => this.admit(socket));
    }

    static create(limits: ServiceLimits, stats: WorkerStats): ServicePort {
        return new ServicePort(limits, stats);
    }

    usage(): { slotsInUse: number; p99Ms: number } {
        const p99Ms = this.latencies.count === 0 ? 0 : this.latencies.percentileMs(99);
        return { slotsInUse: this.slotsInUse, p99Ms };
    }

    /** Connections that are open now never answer again; new ones work. */
    silenceOpenConnections(): void {
        for (const socket of this.open) {
            this.silent.add(socket);
        }
    }

    private admit(socket: Socket): void {
        if (this.open.size >= this.limits.connections) {
            this.stats.overConnectionRefusals += 1;
            socket.destroy();
            return;
        }
        this.open.add(socket);
        socket.on("close", () => this.open.delete(socket));
        socket.on("error", () => socket.destroy());
    }

    private handle(req: IncomingMessage, res: ServerResponse): void {
        req.resume();
        if (this.silent.has(req.socket)) {
            return;
        }
        if (this.leaving) {
            res.setHeader("samphireward-leaving", "1");
            res.setHeader("connection", "close");
        }
        const url = new URL(req.url ?? "/", "http://worker");
        if (url.pathname === "/health") {
            res.writeHead(this.leaving ? 503 : 200).end();
        } else if (this.slotsInUse >= this.limits.slots) {
            this.stats.overSlotRefusals += 1;
            res.writeHead(503, { "samphireward-not-run": "1" }).end();
        } else {
            this.run(req, res, url.searchParams);
        }
    }

    private run(req: IncomingMessage, res: ServerResponse, query: URLSearchParams): void {
        const id = String(req.headers["samphireward-request-id"] ?? "");
        this.stats.requests[id] = (this.stats.requests[id] ?? 0) + 1;
        this.slotsInUse += 1;
        const startMs = performance.now();
        const finish = (): void => {
            this.slotsInUse -= 1;
            this.latencies.record(performance.now() - startMs);
            const status = this.failRequests ? 500 : 200;
            const bytes = Number(query.get("bytes") ?? 0);
            if (!this.silent.has(req.socket)) {
                res.writeHead(status, { "content-type": "text/plain" }).end(id.padEnd(bytes, "."));
            }
        };
        setTimeout(finish, Number(query.get("ms") ?? 0));
    }
}
