import type { Resources } from "@samphireward/core/resources";
import type { TaskPayload } from "./task-payload.js";

/** One attempt that runs on a stand-in worker. Times are of the worker's monotonic clock. */
export interface RunningTask {
    readonly cell: string;
    readonly key: string;
    readonly attempt: number;
    readonly resources: Resources;
    readonly payload: TaskPayload;
    readonly startedMs: number;
    leaseUntilMs: number;
    /** Work done up to `progressAtMs`, in milliseconds at full speed. */
    progressMs: number;
    progressAtMs: number;
    /** Speed from 0 to 1, set by a throttle command. */
    share: number;
}
