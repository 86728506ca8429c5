import type { ListedEnd } from "./listed-end.js";
import type { ListedRun } from "./listed-run.js";

/** A worker's answer about its runs. */
export interface WorkerListing {
    /** Start of the life that answered, wall-clock milliseconds since 1970. */
    readonly startedAtMs: number;
    readonly running: readonly ListedRun[];
    readonly ended: readonly ListedEnd[];
    /** The list of ends was cut at the worker's limit: a run that is not listed may have ended. */
    readonly isPartial: boolean;
}
