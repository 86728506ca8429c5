import { isOverdue } from "./is-overdue.js";
import { isReady } from "./is-ready.js";
import type { Step } from "./step.js";
import type { Task } from "./task.js";

/** Ready tasks of a step that are overdue, those that have waited longest first. */
export const overdueTasks = (step: Step, nowMs: number): Task[] =>
    step.spec.lasting
        ? step.tasks
              .filter(task => isReady(task, nowMs) && isOverdue(task, nowMs))
              .sort((a, b) => (a.readySinceMs ?? nowMs) - (b.readySinceMs ?? nowMs))
        : [];
