import type { AttemptRef } from "./attempt-ref.js";

/** A worker's usage report. It describes the state `lagMs` ago. */
export interface WorkerUsage {
    readonly lagMs: number;
    readonly tasks: readonly (AttemptRef & {
        readonly processors: number;
        readonly memoryMb: number;
        /** Measured run time relative to running alone; 1 means no interference. */
        readonly slowdown: number;
    })[];
    readonly service: { readonly slotsInUse: number; readonly p99Ms: number };
}
