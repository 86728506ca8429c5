import type { Clock } from "@samphireward/core/clock";
import { cellKeys } from "./cell-keys.js";
import type { MetadataStore } from "./metadata-store.js";
import { sleep } from "./sleep.js";
import { StoreFailure } from "./store-failure.js";
import { SubmitOutcome } from "./submit-outcome.js";

/** Pause before a write is tried again. */
const RetryDelayMs = 60;
/** A job without a time of its own is written for this long, in milliseconds. */
const DefaultWriteTimeoutMs = 1_000;
/** Attempts that the store refused after which the job counts as not accepted. */
const MaxRefusals = 2;

/**
 * Makes jobs and cancellations durable. A key is only ever created, so that repeats and late executions of one
 * write cannot change what was accepted.
 */
export class JobWriter {
    private constructor(
        private readonly store: MetadataStore,
        private readonly clock: Clock,
    ) {}

    static create(store: MetadataStore, clock: Clock): JobWriter {
        return new JobWriter(store, clock);
    }

    /** Stores a job. Repeats a write without an answer until `untilMs` (monotonic). */
    accept(
        cell: number,
        id: string,
        text: string,
        untilMs = this.clock.nowMs() + DefaultWriteTimeoutMs,
    ): Promise<SubmitOutcome> {
        return this.createKey(cellKeys.job(cell, id), text, untilMs);
    }

    /** Stores a cancellation. */
    cancel(cell: number, id: string, untilMs: number): Promise<SubmitOutcome> {
        return this.createKey(cellKeys.cancellation(cell, id), "{}", untilMs);
    }

    private async createKey(key: string, value: string, untilMs: number): Promise<SubmitOutcome> {
        if (this.store.isUnresponsive) {
            return SubmitOutcome.NotAccepted;
        }
        let mayBeStored = false;
        for (let refusals = 0; ;) {
            const made = await this.store.commit({
                expected: [{ key, revision: 0 }],
                writes: [{ key, value }],
            });
            if (made.isOk()) {
                // A conflict means that the key exists: it was accepted before.
                return SubmitOutcome.Accepted;
            }
            mayBeStored ||= made.error !== StoreFailure.NotDone;
            refusals += made.error === StoreFailure.NotDone ? 1 : 0;
            if (!mayBeStored && refusals >= MaxRefusals) {
                return SubmitOutcome.NotAccepted;
            }
            if (this.clock.nowMs() + RetryDelayMs >= untilMs || this.store.isUnresponsive) {
                return mayBeStored ? SubmitOutcome.Unknown : SubmitOutcome.NotAccepted;
            }
            await sleep(RetryDelayMs);
        }
    }
}
