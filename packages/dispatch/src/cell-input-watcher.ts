import type { Clock } from "@samphireward/core/clock";
import type { JobRegistry } from "@samphireward/jobs/job-registry";
import { cellKeys } from "./cell-keys.js";
import type { EventLog } from "./event-log.js";
import { itemsUnderPrefix } from "./items-under-prefix.js";
import { jobCodec } from "./job-codec.js";
import type { JobTombstone } from "./job-tombstone.js";
import type { MetadataStore } from "./metadata-store.js";
import { storedRecords } from "./stored-records.js";
import type { StoredItem } from "./stored-item.js";
import { PrefixWatcher } from "./prefix-watcher.js";

/** Source of the input and the callbacks that receive it. */
interface InputContext {
    readonly cell: number;
    /** Epoch of the owner that watches. */
    readonly epoch: number;
    readonly store: MetadataStore;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly jobs: JobRegistry;
    /** Called with the stored text of each job that is not registered yet. */
    readonly onJob: (text: string) => void;
    /** Called with each tombstone of a job that was cancelled before it was stored. */
    readonly onTombstone: (tombstone: Pick<StoredItem, "key" | "revision"> & JobTombstone) => void;
    /** Called with the id of each cancelled job that has no end state yet. */
    readonly onCancellation: (id: string) => void;
    /** Called with the epoch of an owner that has taken over; the jobs that were stored after that are not reported. */
    readonly onTakeover: (epoch: number) => void;
}

/** Watches the jobs and cancellations that any process stores for a cell. */
export class CellInputWatcher {
    private isSuperseded = false;

    private constructor(private readonly context: InputContext) {}

    static create(context: InputContext): CellInputWatcher {
        return new CellInputWatcher(context);
    }

    /** Watches the input after `revision` until the signal aborts. */
    run(signal: AbortSignal, revision: number): Promise<void> {
        const { store, cell, clock, log } = this.context;
        const watcher = PrefixWatcher.create(
            store,
            cellKeys.inputPrefix(cell),
            {
                onItems: items => this.handleItems(items),
                onChange: ({ key, value, revision }) => {
                    if (value !== undefined) {
                        this.handleItems([{ key, value, revision }]);
                    }
                },
            },
            clock,
            log,
        );
        return watcher.run(signal, revision);
    }

    /** Handles jobs first: a cancellation that was read together with its job would otherwise find no job to cancel. */
    private handleItems(items: readonly StoredItem[]): void {
        this.handleTakeover(items);
        if (this.isSuperseded) {
            return;
        }
        const { cell, jobs, onJob, onTombstone, onCancellation } = this.context;
        for (const { id, key, value, revision } of itemsUnderPrefix(items, cellKeys.job(cell, ""))) {
            const tombstone = jobCodec.decodeTombstone(value);
            if (tombstone !== undefined) {
                onTombstone({ key, revision, ...tombstone });
            } else if (jobs.get(id) === undefined) {
                onJob(value);
            }
        }
        for (const { id } of itemsUnderPrefix(items, cellKeys.cancellation(cell, ""))) {
            if (jobs.get(id)?.endState === undefined) {
                onCancellation(id);
            }
        }
    }

    private handleTakeover(items: readonly StoredItem[]): void {
        const { cell, epoch, onTakeover } = this.context;
        const item = items.find(({ key }) => key === cellKeys.takeover(cell));
        const newest = item === undefined ? undefined : storedRecords.decodeTakeover(item.value);
        if (newest !== undefined && newest > epoch && !this.isSuperseded) {
            this.isSuperseded = true;
            onTakeover(newest);
        }
    }
}
