import { Agent } from "node:http";
import type { Clock } from "@samphireward/core/clock";
import { Counters } from "@samphireward/core/counters";
import { LatencyRecorder } from "@samphireward/core/latency-recorder";
import { parseAddress } from "@samphireward/core/parse-address";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { HttpResponse } from "./http-response.js";
import { KeyValueStore } from "./key-value-store.js";
import type { KvEntry } from "./kv-entry.js";
import { sendJson } from "./send-json.js";
import { StoreErrorKind } from "./store-error-kind.js";
import type { StoreError } from "./store-error.js";
import type { WatchResult } from "./watch-result.js";

/** Connection limit of all calls except watches. */
const MaxSockets = 32;

interface Options {
    /** `ip:port` of the store. */
    readonly address: string;
    /** Response timeout; for a watch, `waitMs` is added. */
    readonly timeoutMs: number;
    readonly clock: Clock;
}

/** Store client over HTTP with JSON (docs/PLATFORM.md). A write without a complete response "may be applied". */
export class HttpKeyValueStore extends KeyValueStore {
    /** Number of calls by kind, and of failed calls by error kind. */
    readonly counters = Counters.create();
    /** Response time of each call except watches. */
    readonly latency = LatencyRecorder.create();
    private readonly agent = new Agent({ keepAlive: true, maxSockets: MaxSockets });
    /** A pending watch occupies its connection, so watches do not share the limited connections of the other calls. */
    private readonly watchAgent = new Agent({ keepAlive: true });
    private readonly endpoint: ReturnType<typeof parseAddress>;

    private constructor(private readonly options: Options) {
        super();
        this.endpoint = parseAddress(options.address);
    }

    /** Throws a `SyntaxError` when the address is not `ip:port`. */
    static create(options: Options): HttpKeyValueStore {
        return new HttpKeyValueStore(options);
    }

    /** Closes all connections. */
    close(): void {
        this.agent.destroy();
        this.watchAgent.destroy();
    }

    override async get(key: string): Promise<Result<KvEntry | undefined, StoreError>> {
        const response = await this.send("read", "GET", `/v1/kv/${key}`);
        if (response.status === 404) {
            return Ok(undefined);
        }
        return this.readResult<KvEntry>(response);
    }

    override async list(prefix: string): Promise<Result<WatchResult, StoreError>> {
        const response = await this.send("list", "GET", `/v1/list?prefix=${prefix}`);
        return this.readResult<WatchResult>(response).map(result => ({ ...result, deleted: [] }));
    }

    override async put(
        key: string,
        value: string,
        ifRevision: number,
        leaseId?: string,
    ): Promise<Result<number, StoreError>> {
        const body = { value, ifRevision, ...(leaseId === undefined ? {} : { leaseId }) };
        const response = await this.send("write", "PUT", `/v1/kv/${key}`, body);
        return this.writeResult<{ revision: number }>(response).map(result => result.revision);
    }

    override async delete(key: string, ifRevision: number): Promise<Result<void, StoreError>> {
        const response = await this.send("write", "DELETE", `/v1/kv/${key}?ifRevision=${ifRevision}`);
        return this.writeResult(response).map(() => undefined);
    }

    override async grantLease(ttlMs: number): Promise<Result<string, StoreError>> {
        const response = await this.send("lease", "POST", "/v1/leases", { ttlMs });
        return this.writeResult<{ leaseId: string }>(response).map(result => result.leaseId);
    }

    override async renewLease(leaseId: string): Promise<Result<void, StoreError>> {
        const response = await this.send("lease", "POST", `/v1/leases/${leaseId}/renew`);
        return this.writeResult(response).map(() => undefined);
    }

    override async revokeLease(leaseId: string): Promise<Result<void, StoreError>> {
        const response = await this.send("lease", "DELETE", `/v1/leases/${leaseId}`);
        return this.writeResult(response).map(() => undefined);
    }

    override async watch(
        prefix: string,
        afterRevision: number,
        waitMs: number,
    ): Promise<Result<WatchResult, StoreError>> {
        const path = `/v1/watch?prefix=${prefix}&after=${afterRevision}&waitMs=${waitMs}`;
        const response = await this.send("watch", "GET", path, undefined, waitMs);
        return this.readResult<WatchResult>(response);
    }

    private async send(
        kind: string,
        method: string,
        path: string,
        body?: object,
        waitMs = 0,
    ): Promise<HttpResponse> {
        const startMs = this.options.clock.nowMs();
        this.counters.add(`store.${kind}`);
        const response = await sendJson({
            agent: kind === "watch" ? this.watchAgent : this.agent,
            ...this.endpoint,
            method,
            path,
            timeoutMs: this.options.timeoutMs + waitMs,
            ...(body === undefined ? {} : { body }),
        });
        if (response.status !== undefined && kind !== "watch") {
            this.latency.record(this.options.clock.nowMs() - startMs);
        }
        return response;
    }

    /** A read changes nothing, so every failed read is "not applied". */
    private readResult<T>(response: HttpResponse): Result<T, StoreError> {
        if (response.status === 200 && response.body !== undefined) {
            return Ok(response.body as T);
        }
        return this.failure(StoreErrorKind.NotApplied, response);
    }

    private writeResult<T>(response: HttpResponse): Result<T, StoreError> {
        const { status } = response;
        if (status === 200 && response.body !== undefined) {
            return Ok(response.body as T);
        }
        if (status === 409) {
            return this.failure(StoreErrorKind.Conflict, response);
        }
        if (status === 404 || status === 410) {
            return this.failure(StoreErrorKind.LeaseLost, response);
        }
        const isRefused = status === 400 || status === 413 || status === 503;
        const isUnsent = status === undefined && !response.mayHaveBeenSent;
        const kind = isRefused || isUnsent ? StoreErrorKind.NotApplied : StoreErrorKind.MayBeApplied;
        return this.failure(kind, response);
    }

    private failure(kind: StoreErrorKind, response: HttpResponse): Err<StoreError> {
        this.counters.add(`store.failed.${kind}`);
        const message = response.message || `store answered with status ${response.status}`;
        if (kind !== StoreErrorKind.Conflict) {
            return Err({ kind, message });
        }
        const { current } = (response.body ?? {}) as { current?: KvEntry };
        return Err({ kind, message, current });
    }
}
