import type { TaskState } from "@samphireward/core/task-state";

/** A task as callers and operators see it. */
export interface TaskStatus {
    readonly key: string;
    readonly pool: string;
    readonly state: TaskState;
    readonly attempt: number;
    /** Empty while no worker has the task. */
    readonly worker: string;
    /** Why the task is where it is, or why it waits. */
    readonly reason: string;
    readonly output: string;
}
