import type { Task } from "./task.js";

/** A lasting task that has waited this long goes before short ones, which would otherwise take all freed capacity. */
const OverdueAfterMs = 2_000;

/** Whether a lasting task has waited so long for a worker that any worker with enough capacity will do. */
export const isOverdue = (task: Task, nowMs: number): boolean =>
    task.step.spec.lasting && task.readySinceMs !== undefined && nowMs - task.readySinceMs >= OverdueAfterMs;
