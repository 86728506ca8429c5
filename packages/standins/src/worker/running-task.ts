import type { Resources } from "@samphireward/core/resources";
import type { TaskPayload } from "./task-payload.js";

/** An attempt that is running on a stand-in worker. Times are from the worker's monotonic clock. */
export interface RunningTask {
    readonly cell: string;
    readonly key: string;
    readonly attempt: number;
    readonly resources: Resources;
    readonly payload: TaskPayload;
    readonly startedAtMs: number;
    leaseEndsAtMs: number;
    /** Work done up to `progressUpdatedAtMs`, in milliseconds at full speed. */
    progressMs: number;
    progressUpdatedAtMs: number;
    /** Speed relative to full speed, from 0 to 1; set by a throttle command. */
    relativeSpeed: number;
}
