import type { Task } from "./task.js";

/** Run numbers reserved per epoch and task, so that numbers increase across owners even if a start was not stored. */
const RunNumbersPerEpoch = 1_000;

/** Number of the next run of a task, above those of all its earlier runs and of all earlier epochs. */
export const nextRunNumber = (task: Task, epoch: number): number =>
    Math.max(task.lastRun + 1, (epoch - 1) * RunNumbersPerEpoch + 1);
