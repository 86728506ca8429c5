import { SeededRandom } from "@samphireward/core/seeded-random";
import type { Caller } from "./caller.js";
import type { CallerResult } from "./caller-result.js";

/** A kind of request and its share of the load. */
interface RequestKind {
    readonly path: string;
    readonly idempotent: boolean;
    /** Service time at the target in milliseconds. */
    readonly serviceMs: number;
    readonly bytes: number;
}

interface LoadOptions {
    readonly caller: Caller;
    readonly kinds: readonly RequestKind[];
    readonly requestsPerSecond: number;
    readonly seed: number;
    /** Prefix of the request ids, unique for each load. */
    readonly name: string;
}

/** Callers that send requests at a steady rate without waiting for answers (open loop). */
export class RequestLoad {
    readonly results: CallerResult[] = [];
    private readonly pending = new Set<Promise<void>>();
    private readonly random: SeededRandom;
    private sent = 0;

    private constructor(private readonly options: LoadOptions) {
        this.random = SeededRandom.create(options.seed);
    }

    static create(options: LoadOptions): RequestLoad {
        return new RequestLoad(options);
    }

    /** Sends for the given time, then waits for all answers. */
    async run(durationMs: number): Promise<void> {
        const startMs = performance.now();
        const total = Math.floor((durationMs / 1000) * this.options.requestsPerSecond);
        while (this.sent < total) {
            const due = Math.min(
                total,
                ((performance.now() - startMs) / 1000) * this.options.requestsPerSecond,
            );
            while (this.sent < due) {
                this.sendOne();
            }
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        await Promise.all(this.pending);
    }

    private sendOne(): void {
        const { kinds, caller, name } = this.options;
        const kind = kinds[this.random.below(kinds.length)];
        if (kind === undefined) {
            return;
        }
        this.sent += 1;
        const id = `${name}-${this.sent}`;
        const path = `${kind.path}?ms=${kind.serviceMs}&bytes=${kind.bytes}`;
        const customer = `customer-${this.random.below(20)}`;
        const call = caller
            .call({ id, path, idempotent: kind.idempotent, customer, bytes: kind.bytes })
            .then(result => {
                this.results.push(result);
                this.pending.delete(call);
            });
        this.pending.add(call);
    }
}
