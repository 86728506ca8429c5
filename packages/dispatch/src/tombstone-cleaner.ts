import type { Clock } from "@samphireward/core/clock";
import type { EventLog } from "./event-log.js";
import type { JobTombstone } from "./job-tombstone.js";
import type { MetadataStore } from "./metadata-store.js";
import { sleep } from "./sleep.js";
import type { StoredItem } from "./stored-item.js";
import { tombstoneLimits } from "./tombstone-limits.js";

/** Maximum number of removals in one transaction, which holds at most 32 entries: each key is expected and removed. */
const MaxRemovals = 16;

/** A tombstone in the store, with the revision of its last change. */
type StoredTombstone = Pick<StoredItem, "key" | "revision"> & JobTombstone;

/** Dependencies provided by the cell's owner. */
interface CleanerContext {
    readonly cell: number;
    readonly store: MetadataStore;
    readonly clock: Clock;
    readonly log: EventLog;
}

/**
 * Removes the tombstones of a cell when no submission of their jobs can be on its way any more. A removal expects the
 * revision that was read, so that one that is carried out late removes nothing that was written since.
 */
export class TombstoneCleaner {
    private readonly tombstones = new Map<string, StoredTombstone>();

    private constructor(private readonly context: CleanerContext) {}

    static create(context: CleanerContext): TombstoneCleaner {
        return new TombstoneCleaner(context);
    }

    /** Number of tombstones that are to be removed. */
    get count(): number {
        return this.tombstones.size;
    }

    /** Adds a tombstone that was read, or its newer revision. */
    add({ key, revision, cancelledAtMs }: StoredTombstone): void {
        // A time in the future is that of a clock which is ahead.
        const atMs = Math.min(cancelledAtMs, this.context.clock.wallMs());
        this.tombstones.set(key, { key, revision, cancelledAtMs: atMs });
    }

    /** Removes expired tombstones at intervals until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await sleep(tombstoneLimits.cleanupIntervalMs, signal);
            if (!signal.aborted) {
                await this.removeExpired();
            }
        }
    }

    /** Removes expired tombstones; those whose removal fails stay for the next call. */
    async removeExpired(): Promise<void> {
        const { clock } = this.context;
        const beforeMs = clock.wallMs() - tombstoneLimits.retentionMs;
        const expired = [...this.tombstones.values()].filter(({ cancelledAtMs }) => cancelledAtMs < beforeMs);
        for (let first = 0; first < expired.length; first += MaxRemovals) {
            if (!(await this.remove(expired.slice(first, first + MaxRemovals)))) {
                return;
            }
        }
    }

    /** Returns whether the store has responded. */
    private async remove(batch: readonly StoredTombstone[]): Promise<boolean> {
        const { store, log, cell } = this.context;
        const result = await store.commit({
            expected: batch.map(({ key, revision }) => ({ key, revision })),
            writes: [],
            removes: batch.map(({ key }) => key),
        });
        if (result.isErr()) {
            log.write("tombstones-not-removed", { cell, count: batch.length, failure: result.error });
            return false;
        }
        const revisions = result.value.isCommitted
            ? new Map<string, number>()
            : new Map(result.value.current.map(({ key, revision }) => [key, revision]));
        for (const tombstone of batch) {
            const { key, revision } = tombstone;
            // One that was written again meanwhile is added again by the watch of the inputs.
            if (revisions.get(key) !== revision && this.tombstones.get(key) === tombstone) {
                this.tombstones.delete(key);
            }
        }
        return true;
    }
}
