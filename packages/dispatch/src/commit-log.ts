import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { cellKeys } from "./cell-keys.js";
import { LostOwnership } from "./lost-ownership.js";
import type { LogRecord } from "./log-record.js";
import type { MetadataStore } from "./metadata-store.js";
import { sleep } from "./sleep.js";
import { StoreFailure } from "./store-failure.js";
import type { StoreTransaction } from "./store-transaction.js";
import { storedRecords } from "./stored-records.js";
import type { StoreWrite } from "./store-write.js";

const RetryDelayMs = 100;

/** Writes and removals of one commit; `expected` holds further preconditions. */
interface Batch {
    readonly writes: readonly StoreWrite[];
    readonly removes?: readonly string[];
    readonly expected?: StoreTransaction["expected"];
}

/**
 * Serializes the commits of a cell's owner. Each commit expects the log key as the previous one left it, so that
 * neither an earlier owner nor a late execution of an unanswered commit can overwrite newer state.
 */
export class CommitLog {
    private queue: Promise<unknown> = Promise.resolve();

    private constructor(
        private readonly store: MetadataStore,
        private readonly cell: number,
        private record: LogRecord,
        private revision: number,
        private readonly signal: AbortSignal,
    ) {}

    /** `record` and `revision` are those of the commit that acquired the cell. */
    static create(
        store: MetadataStore,
        cell: number,
        record: LogRecord,
        revision: number,
        signal: AbortSignal,
    ): CommitLog {
        return new CommitLog(store, cell, record, revision, signal);
    }

    /**
     * Resolves when the batch is durable; retries while the store does not respond. A function is called when the earlier
     * commits are durable, just before its batch is sent for the first time.
     */
    commit(batch: Batch | (() => Batch)): Promise<Result<void, typeof LostOwnership>> {
        const result = this.queue.then(() => this.commitNext(typeof batch === "function" ? batch() : batch));
        this.queue = result;
        return result;
    }

    private async commitNext(batch: Batch): Promise<Result<void, typeof LostOwnership>> {
        const next = { epoch: this.record.epoch, sequence: this.record.sequence + 1 };
        while (!this.signal.aborted) {
            const outcome = await this.attempt(batch, next);
            if (outcome !== undefined) {
                return outcome;
            }
            await sleep(RetryDelayMs, this.signal);
        }
        return Err(LostOwnership);
    }

    /** Returns undefined if the commit has to be retried. */
    private async attempt(
        batch: Batch,
        next: LogRecord,
    ): Promise<Result<void, typeof LostOwnership> | undefined> {
        const key = cellKeys.log(this.cell);
        const response = await this.store.commit({
            expected: [{ key, revision: this.revision }, ...(batch.expected ?? [])],
            writes: [{ key, value: JSON.stringify(next) }, ...batch.writes],
            ...(batch.removes === undefined ? {} : { removes: batch.removes }),
        });
        if (response.isErr()) {
            return response.error === StoreFailure.LeaseEnded ? Err(LostOwnership) : undefined;
        }
        if (response.value.isCommitted) {
            return this.advance(next, response.value.revision);
        }
        const current = response.value.current.find(item => item.key === key);
        const storedRecord = current === undefined ? undefined : storedRecords.decodeLog(current.value);
        const isOwnCommit = storedRecord?.epoch === next.epoch && storedRecord.sequence === next.sequence;
        return isOwnCommit && current !== undefined
            ? this.advance(next, current.revision)
            : Err(LostOwnership);
    }

    private advance(next: LogRecord, revision: number): Result<void, typeof LostOwnership> {
        this.record = next;
        this.revision = revision;
        return Ok(undefined);
    }
}
