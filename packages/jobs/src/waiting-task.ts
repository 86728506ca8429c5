import type { Task } from "./task.js";

/** A ready task that found no worker in the last plan. */
export interface WaitingTask {
    readonly task: Task;
    /** Service whose workers may run it. */
    readonly service: string;
}
