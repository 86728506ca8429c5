import type { Clock } from "@samphireward/core/clock";
import type { JobRegistry } from "@samphireward/jobs/job-registry";
import { cellKeys } from "./cell-keys.js";
import type { EventLog } from "./event-log.js";
import { itemsUnderPrefix } from "./items-under-prefix.js";
import type { MetadataStore } from "./metadata-store.js";
import type { StoredItem } from "./stored-item.js";
import { PrefixWatcher } from "./prefix-watcher.js";

/** Where the input comes from, and who takes it. */
interface InputContext {
    readonly cell: number;
    readonly store: MetadataStore;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly book: JobRegistry;
    /** Told the stored text of each job that the book does not know. */
    readonly onJob: (text: string) => void;
    /** Told the id of each job that callers cancelled and that is not decided. */
    readonly onCancellation: (id: string) => void;
}

/** Follows the jobs and cancellations that any process has stored for a cell. */
export class CellInputWatcher {
    private constructor(private readonly context: InputContext) {}

    static create(context: InputContext): CellInputWatcher {
        return new CellInputWatcher(context);
    }

    /** Follows the input from a revision on, until the signal aborts. */
    run(signal: AbortSignal, revision: number): Promise<void> {
        const { store, cell, clock, log } = this.context;
        const prefix = PrefixWatcher.create(
            store,
            cellKeys.inputPrefix(cell),
            {
                onItems: items => this.read(items),
                onChange: ({ key, value, revision }) => {
                    if (value !== undefined) {
                        this.read([{ key, value, revision }]);
                    }
                },
            },
            clock,
            log,
        );
        return prefix.run(signal, revision);
    }

    /** Jobs come first: a cancellation that was read with its job would find nothing to cancel. */
    private read(items: readonly StoredItem[]): void {
        const { cell, book, onJob, onCancellation } = this.context;
        for (const { id, value } of itemsUnderPrefix(items, cellKeys.job(cell, ""))) {
            if (book.get(id) === undefined) {
                onJob(value);
            }
        }
        for (const { id } of itemsUnderPrefix(items, cellKeys.cancellation(cell, ""))) {
            if (book.get(id)?.endState === undefined) {
                onCancellation(id);
            }
        }
    }
}
