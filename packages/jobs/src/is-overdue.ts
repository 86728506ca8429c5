import { overdueAfterMs } from "./overdue-after-ms.js";
import type { Task } from "./task.js";

/** Whether a lasting task has waited so long for a worker that any worker with enough capacity will do. */
export const isOverdue = (task: Task, nowMs: number): boolean =>
    task.step.spec.lasting && task.readySinceMs !== undefined && nowMs - task.readySinceMs >= overdueAfterMs;
