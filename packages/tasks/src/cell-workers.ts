import type { WorkerEntry } from "./worker-entry.js";

/** The workers of a cell on which tasks can be placed. */
export interface CellWorkers {
    /** Workers that can take tasks now; `open` of each entry is up to date. */
    readonly openEntries: () => readonly WorkerEntry[];
    /**
     * All workers that the directory lists, to tell a task that waits for free capacity from one that no
     * worker can hold.
     */
    readonly entries: () => readonly WorkerEntry[];
}
