import { Agent } from "node:http";
import type { Clock } from "@samphireward/core/clock";
import { Counters } from "@samphireward/core/counters";
import { LatencyRecorder } from "@samphireward/core/latency-recorder";
import { parseAddress } from "@samphireward/core/parse-address";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { HttpAnswer } from "./http-answer.js";
import { KeyValueStore } from "./key-value-store.js";
import type { KvEntry } from "./kv-entry.js";
import { sendJson } from "./send-json.js";
import { StoreErrorKind } from "./store-error-kind.js";
import type { StoreError } from "./store-error.js";
import type { WatchResult } from "./watch-result.js";

/** Connections for all calls but watches. */
const MaxSockets = 32;

interface Options {
    /** `ip:port` of the store. */
    readonly address: string;
    /** Longest wait for an answer; a watch waits this much longer than its `waitMs`. */
    readonly timeoutMs: number;
    readonly clock: Clock;
}

/** The store over HTTP JSON (docs/PLATFORM.md). A write without a complete answer is "may be applied". */
export class HttpKeyValueStore extends KeyValueStore {
    /** Calls by kind, failed calls by error kind. */
    readonly counters = Counters.create();
    /** Time of each answered call except watches. */
    readonly latency = LatencyRecorder.create();
    private readonly agent = new Agent({ keepAlive: true, maxSockets: MaxSockets });
    /** A pending watch occupies its connection, so watches must not share a bounded number with other calls. */
    private readonly watchAgent = new Agent({ keepAlive: true });
    private readonly target: ReturnType<typeof parseAddress>;

    private constructor(private readonly options: Options) {
        super();
        this.target = parseAddress(options.address);
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
        const answer = await this.send("read", "GET", `/v1/kv/${key}`);
        if (answer.status === 404) {
            return Ok(undefined);
        }
        return this.read<KvEntry>(answer);
    }

    override async list(prefix: string): Promise<Result<WatchResult, StoreError>> {
        const answer = await this.send("list", "GET", `/v1/list?prefix=${prefix}`);
        return this.read<WatchResult>(answer).map(result => ({ ...result, deleted: [] }));
    }

    override async put(
        key: string,
        value: string,
        ifRevision: number,
        leaseId?: string,
    ): Promise<Result<number, StoreError>> {
        const body = { value, ifRevision, ...(leaseId === undefined ? {} : { leaseId }) };
        const answer = await this.send("write", "PUT", `/v1/kv/${key}`, body);
        return this.written<{ revision: number }>(answer).map(result => result.revision);
    }

    override async delete(key: string, ifRevision: number): Promise<Result<void, StoreError>> {
        const answer = await this.send("write", "DELETE", `/v1/kv/${key}?ifRevision=${ifRevision}`);
        return this.written(answer).map(() => undefined);
    }

    override async grantLease(ttlMs: number): Promise<Result<string, StoreError>> {
        const answer = await this.send("lease", "POST", "/v1/leases", { ttlMs });
        return this.written<{ leaseId: string }>(answer).map(result => result.leaseId);
    }

    override async renewLease(leaseId: string): Promise<Result<void, StoreError>> {
        const answer = await this.send("lease", "POST", `/v1/leases/${leaseId}/renew`);
        return this.written(answer).map(() => undefined);
    }

    override async revokeLease(leaseId: string): Promise<Result<void, StoreError>> {
        const answer = await this.send("lease", "DELETE", `/v1/leases/${leaseId}`);
        return this.written(answer).map(() => undefined);
    }

    override async watch(
        prefix: string,
        afterRevision: number,
        waitMs: number,
    ): Promise<Result<WatchResult, StoreError>> {
        const path = `/v1/watch?prefix=${prefix}&after=${afterRevision}&waitMs=${waitMs}`;
        const answer = await this.send("watch", "GET", path, undefined, waitMs);
        return this.read<WatchResult>(answer);
    }

    private async send(
        kind: string,
        method: string,
        path: string,
        body?: object,
        waitMs = 0,
    ): Promise<HttpAnswer> {
        const startMs = this.options.clock.nowMs();
        this.counters.add(`store.${kind}`);
        const answer = await sendJson({
            agent: kind === "watch" ? this.watchAgent : this.agent,
            ...this.target,
            method,
            path,
            timeoutMs: this.options.timeoutMs + waitMs,
            ...(body === undefined ? {} : { body }),
        });
        if (answer.status !== undefined && kind !== "watch") {
            this.latency.record(this.options.clock.nowMs() - startMs);
        }
        return answer;
    }

    /** A read applies nothing, so every failure of one is "not applied". */
    private read<T>(answer: HttpAnswer): Result<T, StoreError> {
        if (answer.status === 200 && answer.body !== undefined) {
            return Ok(answer.body as T);
        }
        return this.failure(StoreErrorKind.NotApplied, answer);
    }

    private written<T>(answer: HttpAnswer): Result<T, StoreError> {
        const { status } = answer;
        if (status === 200 && answer.body !== undefined) {
            return Ok(answer.body as T);
        }
        if (status === 409) {
            return this.failure(StoreErrorKind.Conflict, answer);
        }
        if (status === 404 || status === 410) {
            return this.failure(StoreErrorKind.LeaseLost, answer);
        }
        const isRefused = status === 400 || status === 413 || status === 503;
        const isUnsent = status === undefined && !answer.wasSent;
        const kind = isRefused || isUnsent ? StoreErrorKind.NotApplied : StoreErrorKind.MayBeApplied;
        return this.failure(kind, answer);
    }

    private failure(kind: StoreErrorKind, answer: HttpAnswer): Err<StoreError> {
        this.counters.add(`store.failed.${kind}`);
        const message = answer.message || `store answered with status ${answer.status}`;
        if (kind !== StoreErrorKind.Conflict) {
            return Err({ kind, message });
        }
        const { current } = (answer.body ?? {}) as { current?: KvEntry };
        return Err({ kind, message, current });
    }
}
