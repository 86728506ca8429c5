import type { Task } from "./task.js";

/** An overdue lasting task that has waited this long may take the place of another one, whatever their images. */
const StarvedAfterMs = 3_500;

/** Whether a lasting task has waited so long that no preference for other tasks keeps it from a worker. */
export const isStarved = (task: Task, nowMs: number): boolean =>
    task.step.spec.lasting && task.readySinceMs !== undefined && nowMs - task.readySinceMs >= StarvedAfterMs;
