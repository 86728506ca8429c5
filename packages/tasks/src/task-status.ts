import type { TaskState } from "@samphireward/core/task-state";

/** Status of a task as callers and operators see it. */
export interface TaskStatus {
    readonly key: string;
    readonly pool: string;
    readonly state: TaskState;
    readonly attempt: number;
    /** Empty while no worker has the task. */
    readonly worker: string;
    /** Reason for the task's state, or why the task waits. */
    readonly reason: string;
    readonly output: string;
}
