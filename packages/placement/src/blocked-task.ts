import type { QueuedTask } from "./queued-task.js";

/** A queued task for which no worker had room. */
export interface BlockedTask {
    readonly key: string;
    readonly task: QueuedTask;
    readonly blockedAtMs: number;
    /** A worker is kept free for it, so that other tasks cannot delay it. */
    held: boolean;
}
