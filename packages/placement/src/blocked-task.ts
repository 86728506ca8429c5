import type { QueuedTask } from "./queued-task.js";

/** A queued task for which no worker had room. */
export interface BlockedTask {
    readonly key: string;
    readonly task: QueuedTask;
    readonly blockedAtMs: number;
    /** Whether a worker is reserved for the task, so that other tasks cannot delay it. */
    held: boolean;
}
