import type { Clock } from "@samphireward/core/clock";
import { cellKeys } from "./cell-keys.js";
import type { MetadataStore } from "./metadata-store.js";
import { sleep } from "./sleep.js";
import { StoreFailure } from "./store-failure.js";
import { SubmitOutcome } from "./submit-outcome.js";

/** Delay before a write is retried. */
const RetryDelayMs = 60;
/** Time for which a write without a deadline of its own is retried. */
const DefaultWriteTimeoutMs = 1_000;
/** Refusals of the store after which a write counts as not accepted. */
const MaxRefusals = 2;

/**
 * Stores jobs and cancellations durably. Keys are created and never overwritten, so that retries and late executions
 * of a write cannot change what was accepted.
 */
export class JobWriter {
    private constructor(
        private readonly store: MetadataStore,
        private readonly clock: Clock,
    ) {}

    static create(store: MetadataStore, clock: Clock): JobWriter {
        return new JobWriter(store, clock);
    }

    /** Stores a job. Retries an unanswered write until `deadlineMs` on the monotonic clock. */
    accept(
        cell: number,
        id: string,
        text: string,
        deadlineMs = this.clock.nowMs() + DefaultWriteTimeoutMs,
    ): Promise<SubmitOutcome> {
        return this.createKey(cellKeys.job(cell, id), text, deadlineMs);
    }

    /** Stores a cancellation. */
    cancel(cell: number, id: string, deadlineMs: number): Promise<SubmitOutcome> {
        return this.createKey(cellKeys.cancellation(cell, id), "{}", deadlineMs);
    }

    private async createKey(key: string, value: string, deadlineMs: number): Promise<SubmitOutcome> {
        if (this.store.isUnresponsive) {
            return SubmitOutcome.NotAccepted;
        }
        let mayBeStored = false;
        for (let refusals = 0; ;) {
            const result = await this.store.commit({
                expected: [{ key, revision: 0 }],
                writes: [{ key, value }],
            });
            if (result.isOk()) {
                // A conflict means that the key exists: it was accepted before.
                return SubmitOutcome.Accepted;
            }
            mayBeStored ||= result.error !== StoreFailure.NotDone;
            refusals += result.error === StoreFailure.NotDone ? 1 : 0;
            if (!mayBeStored && refusals >= MaxRefusals) {
                return SubmitOutcome.NotAccepted;
            }
            if (this.clock.nowMs() + RetryDelayMs >= deadlineMs || this.store.isUnresponsive) {
                return mayBeStored ? SubmitOutcome.Unknown : SubmitOutcome.NotAccepted;
            }
            await sleep(RetryDelayMs);
        }
    }
}
