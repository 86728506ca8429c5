import type { TaskProgress } from "./task-progress.js";

/** Durable state of one step: which tasks are done, one bit a task, and marks of the others. */
export interface StepProgress {
    readonly doneBits: string;
    readonly marks: readonly TaskProgress[];
}
