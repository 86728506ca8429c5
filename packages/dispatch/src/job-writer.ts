import type { Clock } from "@samphireward/core/clock";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { cellKeys } from "./cell-keys.js";
import type { CommitResult } from "./commit-result.js";
import { jobCodec } from "./job-codec.js";
import type { MetadataStore } from "./metadata-store.js";
import { sleep } from "./sleep.js";
import { StoreFailure } from "./store-failure.js";
import type { StoredItem } from "./stored-item.js";
import { SubmitOutcome } from "./submit-outcome.js";
import { TombstoneOutcome } from "./tombstone-outcome.js";

/** Delay before a write is retried. */
const RetryDelayMs = 60;
/** Time by which the first attempt of a write may be later than its deadline, so that a short one gets an attempt. */
const MaxLatenessMs = 1_000;
/** Refusals of the store after which a write counts as not accepted. */
const MaxRefusals = 2;

/** A key with the revision that it is expected to have; 0 if it is expected to be absent. */
interface KeyWrite {
    readonly key: string;
    readonly value: string;
    readonly revision: number;
}

/** The item that kept a transaction from being committed; undefined if it was committed, or the item is gone. */
const findConflict = (result: CommitResult, key: string): StoredItem | undefined =>
    result.isCommitted ? undefined : result.current.find(item => item.key === key);

/**
 * Stores jobs and cancellations durably. Keys are created and never overwritten, so that retries and late executions of
 * a write cannot change what was accepted. The key of a job holds either the job or its tombstone: whichever the store
 * writes first decides whether the job was submitted or cancelled.
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
    async accept(cell: number, id: string, text: string, deadlineMs: number): Promise<SubmitOutcome> {
        const key = cellKeys.job(cell, id);
        const result = await this.write({ key, value: text, revision: 0 }, deadlineMs);
        if (result.isErr()) {
            return result.error;
        }
        const conflict = findConflict(result.value, key);
        const isCancelled = conflict !== undefined && jobCodec.decodeTombstone(conflict.value) !== undefined;
        // Another conflict means that the job exists: it was accepted before.
        return isCancelled ? SubmitOutcome.Cancelled : SubmitOutcome.Accepted;
    }

    /** Stores the cancellation of a stored job. */
    async cancel(cell: number, id: string, deadlineMs: number): Promise<SubmitOutcome> {
        const write = { key: cellKeys.cancellation(cell, id), value: "{}", revision: 0 };
        const result = await this.write(write, deadlineMs);
        return result.isErr() ? result.error : SubmitOutcome.Accepted;
    }

    /** Stores a tombstone in place of a job that is not stored, or writes an earlier one again. */
    async writeTombstone(cell: number, id: string, deadlineMs: number): Promise<TombstoneOutcome> {
        const key = cellKeys.job(cell, id);
        const value = jobCodec.encodeTombstone({ cancelledAtMs: this.clock.wallMs() });
        let revision = 0;
        do {
            const result = await this.write({ key, value, revision }, deadlineMs);
            if (result.isErr()) {
                return TombstoneOutcome.Unavailable;
            }
            if (result.value.isCommitted) {
                return TombstoneOutcome.Stored;
            }
            const conflict = findConflict(result.value, key);
            if (conflict !== undefined && jobCodec.decodeTombstone(conflict.value) === undefined) {
                return TombstoneOutcome.JobExists;
            }
            revision = conflict?.revision ?? 0;
        } while (this.clock.nowMs() < deadlineMs);
        return TombstoneOutcome.Unavailable;
    }

    /** Writes a key if it has the expected revision; returns the response of the store, or the outcome without one. */
    private async write(
        { key, value, revision }: KeyWrite,
        deadlineMs: number,
    ): Promise<Result<CommitResult, SubmitOutcome>> {
        if (this.store.isUnresponsive || this.clock.nowMs() > deadlineMs + MaxLatenessMs) {
            return Err(SubmitOutcome.NotAccepted);
        }
        let mayBeStored = false;
        for (let refusals = 0; ;) {
            const result = await this.store.commit({
                expected: [{ key, revision }],
                writes: [{ key, value }],
            });
            if (result.isOk()) {
                return Ok(result.value);
            }
            mayBeStored ||= result.error !== StoreFailure.NotDone;
            refusals += result.error === StoreFailure.NotDone ? 1 : 0;
            if (!mayBeStored && refusals >= MaxRefusals) {
                return Err(SubmitOutcome.NotAccepted);
            }
            if (this.clock.nowMs() + RetryDelayMs >= deadlineMs || this.store.isUnresponsive) {
                return Err(mayBeStored ? SubmitOutcome.Unknown : SubmitOutcome.NotAccepted);
            }
            await sleep(RetryDelayMs);
        }
    }
}
