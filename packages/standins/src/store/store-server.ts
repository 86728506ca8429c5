import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Clock } from "@samphireward/core/clock";
import { Counters } from "@samphireward/core/counters";
import { listen } from "@samphireward/core/listen";
import { runInBackground } from "@samphireward/core/run-in-background";
import { StoreTable } from "@samphireward/state/testing/store-table";
import { StoreFaults } from "./store-faults.js";
import { StoreRoutes } from "./store-routes.js";

/** Fits a value of 1 MB with its JSON escapes. */
const MaxBodyBytes = 8 * 1024 * 1024;
const LeaseSweepIntervalMs = 100;

const readJson = async (req: IncomingMessage): Promise<unknown> => {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of req) {
        size += (chunk as Buffer).length;
        if (size > MaxBodyBytes) {
            throw new SyntaxError("request body too large");
        }
        chunks.push(chunk as Buffer);
    }
    const text = Buffer.concat(chunks).toString("utf8");
    return text === "" ? {} : JSON.parse(text);
};

const sendJson = (res: ServerResponse, status: number, body: object): void => {
    if (res.destroyed) {
        return;
    }
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
};

/** HTTP server of the stand-in store. Injects faults and counts calls. */
export class StoreServer {
    readonly counters = Counters.create();
    private readonly faults = StoreFaults.create();
    private readonly routes: StoreRoutes;
    private readonly server: Server;
    private readonly leaseSweepTimer: NodeJS.Timeout;

    private constructor(clock: Clock) {
        const table = StoreTable.create(clock);
        this.routes = StoreRoutes.create(table);
        this.server = createServer((req, res) => runInBackground("call", this.handle(req, res)));
        // If the server closed an idle connection, the client could not tell whether its next write was applied.
        this.server.keepAliveTimeout = 600_000;
        this.leaseSweepTimer = setInterval(() => table.expireLeases(), LeaseSweepIntervalMs);
    }

    static create(clock: Clock): StoreServer {
        return new StoreServer(clock);
    }

    /** Listens on `ip:port` and returns the address. Port 0 is replaced by the port that the system chose. */
    listen(address: string): Promise<string> {
        return listen(this.server, address);
    }

    close(): void {
        clearInterval(this.leaseSweepTimer);
        this.server.close();
        this.server.closeAllConnections();
    }

    private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        try {
            const body = (await readJson(req)) as Record<string, unknown>;
            const url = new URL(req.url ?? "/", "http://store");
            if (url.pathname === "/v1/stats") {
                return sendJson(res, 200, { calls: this.counters.snapshot() });
            }
            if (url.pathname === "/v1/fault") {
                const result = this.faults.set(body);
                return sendJson(
                    res,
                    result.isOk() ? 200 : 400,
                    result.isOk() ? {} : { message: result.error },
                );
            }
            await this.serve(req.method ?? "GET", url, body, res);
        } catch {
            sendJson(res, 400, { message: "malformed request" });
        }
    }

    private async serve(
        method: string,
        url: URL,
        body: Record<string, unknown>,
        res: ServerResponse,
    ): Promise<void> {
        const fault = this.faults.nextFault();
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
        // Applies to reads too: clients must also tolerate the loss of a read's response.
        if (fault.mode === "lose-answers") {
            res.destroy();
            return;
        }
        sendJson(res, result.status, result.body);
    }
}
