import type { Task } from "./task.js";

/** A task that found no worker in the last plan: a ready one, or one whose run would move. */
export interface WaitingTask {
    readonly task: Task;
    /** Service whose workers may run it. */
    readonly service: string;
}
