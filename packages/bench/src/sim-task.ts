import type { SimClass } from "./sim-class.js";

/** A batch task or watch in the benchmark. Times are in seconds. */
export interface SimTask {
    readonly key: string;
    readonly simClass: SimClass;
    readonly classIndex: number;
    /** Index of the cell that the task belongs to. */
    readonly cell: number;
    readonly submittedAtMs: number;
    /** Actual use of processors, and actual run time without interference. */
    readonly usedProcessors: number;
    readonly workSeconds: number;
    doneSeconds: number;
    checkpointSeconds: number;
    /** Share of its processors that the task may use; below 1 while it is throttled. */
    processorShare: number;
}
