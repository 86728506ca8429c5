import { SeededRandom } from "@samphireward/core/seeded-random";
import type { Caller } from "./caller.js";
import type { CallerResult } from "./caller-result.js";

/** A kind of request; every kind is sent equally often on average. */
interface RequestKind {
    readonly path: string;
    readonly idempotent: boolean;
    /** Service time at the target. */
    readonly serviceMs: number;
    readonly bytes: number;
}

interface RequestLoadOptions {
    readonly caller: Caller;
    readonly kinds: readonly RequestKind[];
    readonly requestsPerSecond: number;
    readonly seed: number;
    /** Prefix of the request ids, unique to each load. */
    readonly name: string;
}

/** Open-loop load: sends requests at a constant rate without waiting for responses. */
export class RequestLoad {
    readonly results: CallerResult[] = [];
    private readonly pending = new Set<Promise<void>>();
    private readonly random: SeededRandom;
    private sentCount = 0;

    private constructor(private readonly options: RequestLoadOptions) {
        this.random = SeededRandom.create(options.seed);
    }

    static create(options: RequestLoadOptions): RequestLoad {
        return new RequestLoad(options);
    }

    /** Sends requests for the given time, then waits for all responses. */
    async run(durationMs: number): Promise<void> {
        const startMs = performance.now();
        const total = Math.floor((durationMs / 1000) * this.options.requestsPerSecond);
        while (this.sentCount < total) {
            const due = Math.min(
                total,
                ((performance.now() - startMs) / 1000) * this.options.requestsPerSecond,
            );
            while (this.sentCount < due) {
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
        this.sentCount += 1;
        const id = `${name}-${this.sentCount}`;
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
