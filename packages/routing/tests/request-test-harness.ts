import { Agent, request } from "node:http";
import type { IncomingHttpHeaders, Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Counters } from "@samphireward/core/counters";
import { SeededRandom } from "@samphireward/core/seeded-random";
import { SystemClock } from "@samphireward/core/system-clock";
import { Tables } from "@samphireward/core/tables";
import { createCallersServer } from "../src/create-callers-server.js";
import { KeyClaimer } from "../src/key-claimer.js";
import { KeyClaimResult } from "../src/key-claim-result.js";
import type { KeyClaimResult as Result } from "../src/key-claim-result.js";
import { RequestHandler } from "../src/request-handler.js";
import type { RequestRecord } from "../src/request-record.js";
import type { RequestSettings } from "../src/request-settings.js";
import { ShareRegistry } from "../src/share-registry.js";

const route = (name: string, idempotent: boolean, deadline: string): string => `
[routes.${name}]
path = "/${name}"
pool = "desk"
kind = "request"
idempotent = ${idempotent}
deadline = "${deadline}"
maxBodyBytes = 1000
maxQueue = 6
objective = { latency = "250ms", ratio = 0.99 }
`;

const pools = (bitsPerSecond: number): string => `
[zones]
near = { region = "north", cells = 1 }
next = { region = "north", cells = 1 }
far = { region = "south", cells = 1 }
[links.north-south]
between = ["north", "south"]
bitsPerSecond = ${bitsPerSecond}
[teams.orders]
quota = { processors = 1, memoryMb = 1, accelerators = 0 }
[pools.desk]
class = "latency-critical"
team = "orders"
zones = ["near", "next", "far"]
interferenceClass = "render"
service = { name = "desk", reserve = { processors = 1, memoryMb = 1, accelerators = 0 }, slotsPerWorker = 8, connectionsPerWorker = 64 }
`;

interface CallResult {
    readonly status: number;
    readonly code: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: string;
    /** Whether the connection was closed before the response was complete. */
    readonly isAborted: boolean;
}

interface CallOptions {
    readonly method?: string;
    readonly headers?: Record<string, string>;
    readonly body?: string;
}

/** A key claimer that returns the result set by the test and records the released keys. */
class FakeKeyClaimer extends KeyClaimer {
    result: Result | Error = KeyClaimResult.Granted;
    readonly released: string[] = [];

    override claim(): Promise<Result> {
        return this.result instanceof Error ? Promise.reject(this.result) : Promise.resolve(this.result);
    }

    override release(key: string): void {
        this.released.push(key);
    }
}

interface HarnessOptions {
    readonly settings?: Partial<RequestSettings>;
    readonly bitsPerSecond?: number;
    readonly claimer?: KeyClaimer;
}

/** Request handling of one entry process in data centre `near`, with shares granted by the test. */
export class RequestTestHarness {
    readonly records: RequestRecord[] = [];
    readonly unexpectedErrors: unknown[] = [];
    readonly counters = Counters.create();
    readonly clock = SystemClock.create();
    readonly shares = ShareRegistry.create(this.clock);
    readonly claimer = new FakeKeyClaimer();
    readonly handler: RequestHandler;
    readonly server: Server;
    private readonly agent = new Agent({ keepAlive: true });
    private sequence = 0;

    private constructor(options: HarnessOptions) {
        const routes = `${route("read", true, "700ms")}${route("order", false, "700ms")}${route("slow", true, "5s")}`;
        const tables = Tables.create(routes, pools(options.bitsPerSecond ?? 1_000_000_000)).unwrap();
        this.handler = RequestHandler.create({
            clock: this.clock,
            dataCentre: "near",
            tables: () => tables,
            shares: this.shares,
            claimer: options.claimer ?? this.claimer,
            random: SeededRandom.create(7),
            counters: this.counters,
            settings: { ...options.settings },
            onOutcome: record => this.records.push(record),
            onUnexpectedError: err => this.unexpectedErrors.push(err),
        });
        this.server = createCallersServer(this.handler);
    }

    static async start(options: HarnessOptions = {}): Promise<RequestTestHarness> {
        const harness = new RequestTestHarness(options);
        await new Promise<void>(resolve => harness.server.listen(0, "127.0.0.1", resolve));
        return harness;
    }

    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    /** Grants slots of a data centre's workers, which are named by their addresses. */
    grant(addresses: readonly string[], slots = 4, dataCentre = "near", expiresInMs = 60_000): void {
        const cell = `${dataCentre}/0`;
        this.sequence += 1;
        const { report } = this.shares.openStream(cell, 1);
        const shares = addresses.map(serviceAddress => ({
            worker: serviceAddress,
            serviceAddress,
            slots,
            connections: slots * 2,
            epoch: 1,
            expiresInMs,
        }));
        const plannedSlots = slots * shares.length;
        this.shares.apply({ cell, epoch: 1, sequence: this.sequence, report, plannedSlots, shares });
    }

    call(path: string, options: CallOptions = {}): Promise<CallResult> {
        return new Promise(resolve => {
            const { method = "GET", headers = {}, body } = options;
            const length = body === undefined ? {} : { "content-length": String(Buffer.byteLength(body)) };
            const req = request({
                agent: this.agent,
                port: this.port,
                host: "127.0.0.1",
                method,
                path,
                headers: { ...length, ...headers },
            });
            // A connection reset is reported here even after the headers have arrived.
            let finish: (isAborted: boolean) => void = () =>
                resolve({ status: 0, code: 0, headers: {}, body: "", isAborted: true });
            req.on("error", () => finish(true));
            req.on("response", res => {
                let text = "";
                finish = isAborted =>
                    resolve({
                        status: res.statusCode ?? 0,
                        code: Number(res.headers["samphireward-code"]),
                        headers: res.headers,
                        body: text,
                        isAborted,
                    });
                res.on("data", (chunk: Buffer) => (text += chunk.toString("latin1")));
                res.on("error", () => finish(true));
                res.on("end", () => finish(!res.complete));
            });
            req.end(body);
        });
    }

    /** Sends `count` requests one after another, so that the slow start of the target is over. */
    async warmUp(count = 4): Promise<void> {
        for (let index = 0; index < count; index += 1) {
            await this.call("/read/warm-up");
        }
    }

    async stop(): Promise<void> {
        this.agent.destroy();
        this.server.closeAllConnections();
        await new Promise(resolve => this.server.close(resolve));
        await this.handler.drain();
        this.handler.close();
        // A slot or connection that is never released keeps the test from ending.
        const isHeld = (): boolean =>
            this.shares.allShares().some(share => share.slotsInUse !== 0 || share.connectionsOpen !== 0);
        while (isHeld()) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
    }
}
