import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Clock } from "@samphireward/core/clock";
import { Counters } from "@samphireward/core/counters";
import { listen } from "@samphireward/core/listen";
import { StoreTable } from "@samphireward/state/testing/store-table";
import { StoreFaults } from "./store-faults.js";
import { StoreRoutes } from "./store-routes.js";

/** Longest request body: a value of 1 MB with its JSON escapes. */
const MaxBodyBytes = 8 * 1024 * 1024;
const LeaseSweepMs = 100;

const readJson = async (req: IncomingMessage): Promise<unknown> => {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of req) {
        size += (chunk as Buffer).length;
        if (size > MaxBodyBytes) {
            throw new SyntaxError("body too large");
        }
        chunks.push(chunk as Buffer);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    return text === "" ? {} : JSON.parse(text);
};

const answer = (res: ServerResponse, status: number, body: object): void => {
    if (res.destroyed) {
        return;
    }
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
};

/** HTTP server of the stand-in store with its faults and counted calls. */
export class StoreServer {
    readonly counters = Counters.create();
    private readonly faults = StoreFaults.create();
    private readonly routes: StoreRoutes;
    private readonly server: Server;
    private readonly sweep: NodeJS.Timeout;

    private constructor(clock: Clock) {
        const table = StoreTable.create(clock);
        this.routes = StoreRoutes.create(table);
        this.server = createServer((req, res) => void this.handle(req, res));
        // An idle connection that the server closes makes the client's next write ambiguous.
        this.server.keepAliveTimeout = 600_000;
        this.sweep = setInterval(() => table.dropLapsedLeases(), LeaseSweepMs);
    }

    static create(clock: Clock): StoreServer {
        return new StoreServer(clock);
    }

    /** Listens on `ip:port` and returns the address, with the port that the system chose when it is 0. */
    listen(address: string): Promise<string> {
        return listen(this.server, address);
    }

    close(): void {
        clearInterval(this.sweep);
        this.server.close();
        this.server.closeAllConnections();
    }

    private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        try {
            const body = (await readJson(req)) as Record<string, unknown>;
            const url = new URL(req.url ?? "/", "http://store");
            if (url.pathname === "/v1/stats") {
                return answer(res, 200, { calls: this.counters.snapshot() });
            }
            if (url.pathname === "/v1/fault") {
                const result = this.faults.set(body);
                return answer(res, result.isOk() ? 200 : 400, result.isOk() ? {} : { message: result.error });
            }
            await this.serve(req.method ?? "GET", url, body, res);
        } catch {
            answer(res, 400, { message: "malformed request" });
        }
    }

    private async serve(
        method: string,
        url: URL,
        body: Record<string, unknown>,
        res: ServerResponse,
    ): Promise<void> {
        const fault = this.faults.take();
        if (fault.mode === "down") {
            this.counters.add("refused");
            res.destroy();
            return;
        }
        if (fault.delayMs > 0) {
            await sleep(fault.delayMs);
        }
        const result = await this.routes.serve(method, url, body);
        this.counters.add(result.kind);
        this.counters.add(`${result.kind}.bytes`, result.bytes);
        // Reads have no effect to lose, but a lost answer of one must be survived as well.
        if (fault.mode === "lose-answers") {
            res.destroy();
            return;
        }
        answer(res, result.status, result.body);
    }
}
