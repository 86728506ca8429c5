import type { WorkerView } from "./worker-view.js";

/** Workers whose free processors and free memory lie in the same ranges, in `CandidateIndex`. */
export interface IndexBucket {
    /** Lower bounds of the ranges: every member has at least this much free. */
    readonly minFreeProcessors: number;
    readonly minFreeMemoryMb: number;
    readonly hasAccelerators: boolean;
    readonly members: WorkerView[];
}
