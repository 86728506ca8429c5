import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { json } from "node:stream/consumers";
import type { ConfigDocument } from "@samphireward/core/config-document";

type Body = Record<string, unknown>;

/** Fault that is injected into one write of the tables. */
type WriteFault = "none" | "apply-and-destroy" | "destroy" | "store-unavailable" | "other-change";

/**
 * A response that replaces the default one. `truncate` ends it early, `silent` never sends it, and `destroy` closes
 * the connection in its place.
 */
interface FixedResponse {
    readonly status: number;
    readonly body: unknown;
    readonly fault?: "truncate" | "silent" | "destroy";
}

const emptyConfig = { revision: 0, changeId: "", author: "", timeMs: 0, routes: "", pools: "" };

/** Fake administration port that stores the configuration and returns preset responses to other requests. */
export class FakeAdminServer {
    readonly changes: ConfigDocument[] = [];
    /** Faults of the next writes, in order; later writes have none. */
    readonly writeFaults: WriteFault[] = [];
    /** Number of reads that return only the first change, as a process with a stale configuration would. */
    staleReads = 0;
    /** Preset responses by method and path without query; taken in order, and the last one is repeated. */
    readonly responses = new Map<string, FixedResponse[]>();
    readonly requests: { endpoint: string; url: string; body: Body; authorization: string | undefined }[] =
        [];

    private constructor(private readonly server: Server) {}

    static async start(): Promise<FakeAdminServer> {
        const server = createServer();
        const fake = new FakeAdminServer(server);
        server.on("request", (req, res) => void fake.serve(req, res));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return fake;
    }

    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Number of requests received for a method and path. */
    requestCount(endpoint: string): number {
        return this.requests.filter(item => item.endpoint === endpoint).length;
    }

    setResponses(endpoint: string, ...responses: FixedResponse[]): void {
        this.responses.set(endpoint, responses);
    }

    applyOtherChange(): void {
        const revision = (this.changes.at(-1)?.revision ?? 0) + 1;
        const last = this.changes.at(-1) ?? { routes: "", pools: "" };
        const { routes, pools } = last;
        this.changes.push({
            revision,
            changeId: `other-${revision}`,
            author: "second-operator",
            timeMs: 1_790_000_000_000,
            routes: routes.replace("maxQueue = 200", "maxQueue = 250"),
            pools,
        });
    }

    async stop(): Promise<void> {
        this.server.closeAllConnections();
        await new Promise(resolve => this.server.close(resolve));
    }

    private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const url = req.url ?? "";
        const endpoint = `${req.method} ${url.split("?")[0]}`;
        const body = req.method === "GET" ? {} : ((await json(req)) as Body);
        this.requests.push({ endpoint, url, body, authorization: req.headers.authorization });
        const queued = this.responses.get(endpoint);
        const response = queued !== undefined && queued.length > 1 ? queued.shift() : queued?.[0];
        if (response !== undefined) {
            this.sendFixed(res, response);
        } else if (endpoint === "PUT /v1/config") {
            this.write(res, body);
        } else {
            this.read(res, endpoint);
        }
    }

    private sendFixed(res: ServerResponse, { status, body, fault }: FixedResponse): void {
        if (fault === "silent") {
            return;
        }
        if (fault === "destroy") {
            res.destroy();
            return;
        }
        if (fault === "truncate") {
            res.writeHead(status, { "content-length": "1000" });
            res.write(JSON.stringify(body), () => res.destroy());
            return;
        }
        this.send(res, status, body);
    }

    private send(res: ServerResponse, status: number, body: unknown): void {
        res.writeHead(status, { "content-type": "application/json" });
        res.end(typeof body === "string" ? body : JSON.stringify(body));
    }

    private read(res: ServerResponse, endpoint: string): void {
        const visible = this.staleReads > 0 ? this.changes.slice(0, 1) : this.changes;
        this.staleReads -= 1;
        const current = visible.at(-1);
        if (endpoint === "GET /v1/config") {
            this.send(res, 200, current ?? emptyConfig);
        } else if (endpoint === "GET /v1/config/history") {
            const changes = visible.map(({ revision, changeId, author, timeMs }) => ({
                revision,
                changeId,
                author,
                timeMs,
            }));
            this.send(res, 200, { changes: changes.reverse() });
        } else {
            this.send(res, 404, { code: 2000 });
        }
    }

    private write(res: ServerResponse, body: Body): void {
        const fault = this.writeFaults.shift() ?? "none";
        if (fault === "destroy") {
            res.destroy();
            return;
        }
        if (fault === "store-unavailable") {
            this.send(res, 503, { code: 2004 });
            return;
        }
        if (fault === "other-change") {
            this.applyOtherChange();
        }
        const current = this.changes.at(-1);
        const isExpected = body["expectedRevision"] === (current?.revision ?? 0);
        if (isExpected) {
            const revision = (current?.revision ?? 0) + 1;
            const { changeId, author, routes, pools } = body as unknown as ConfigDocument;
            this.changes.push({ revision, changeId, author, timeMs: 1_790_000_000_000, routes, pools });
        }
        if (fault === "apply-and-destroy") {
            res.destroy();
        } else if (isExpected) {
            this.send(res, 200, { code: 1003, revision: this.changes.at(-1)?.revision });
        } else {
            this.send(res, 409, { code: 5002, current });
        }
    }
}
