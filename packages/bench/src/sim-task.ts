import type { SimClass } from "./sim-class.js";

/** A batch task or watch in the benchmark. Times are in seconds. */
export interface SimTask {
    readonly key: string;
    readonly simClass: SimClass;
    readonly classIndex: number;
    /** Index of the cell that the task belongs to. */
    readonly cell: number;
    readonly submittedMs: number;
    /** Processors that it really uses, and its real run time alone. */
    readonly usedProcessors: number;
    readonly workSeconds: number;
    doneSeconds: number;
    checkpointSeconds: number;
    /** Share of its processors that it may use; below 1 while throttled. */
    processorShare: number;
}
