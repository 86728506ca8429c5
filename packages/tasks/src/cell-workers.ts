import type { WorkerEntry } from "./worker-entry.js";

/** The workers of a cell among which tasks are placed. */
export interface CellWorkers {
    /** Workers that may take tasks now; `open` of each entry is up to date. */
    readonly openEntries: () => readonly WorkerEntry[];
    /** Every worker that is not gone, to tell a task that waits for space from one that waits for a worker. */
    readonly entries: () => readonly WorkerEntry[];
}
