import type { ListedEnd } from "./listed-end.js";
import type { ListedRun } from "./listed-run.js";

/** A worker's report of its runs. */
export interface WorkerListing {
    /** Start of the incarnation that answered, as wall-clock time in milliseconds since 1970. */
    readonly startedAtMs: number;
    readonly running: readonly ListedRun[];
    readonly ended: readonly ListedEnd[];
    /** The list of ends was truncated at the worker's limit: a run that is not listed may have ended. */
    readonly isPartial: boolean;
}
