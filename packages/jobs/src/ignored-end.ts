import type { IgnoreReason } from "./ignore-reason.js";
import type { ListedEnd } from "./listed-end.js";

/** The end of a run in a worker's listing that is not the end of its task's current run. */
export interface IgnoredEnd extends ListedEnd {
    readonly reason: IgnoreReason;
    /**
     * Number of the task's current run or, if it has none, of its last one; undefined if this owner knows of none.
     */
    readonly currentRun: number | undefined;
}
