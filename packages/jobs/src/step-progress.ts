import type { TaskProgress } from "./task-progress.js";

/** Durable state of one step: `doneBits` has one digit per task (1: done), `marks` the progress of the others. */
export interface StepProgress {
    readonly doneBits: string;
    readonly marks: readonly TaskProgress[];
}
