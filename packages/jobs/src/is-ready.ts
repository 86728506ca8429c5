import type { Task } from "./task.js";

/** Whether a task of an open step may start now. */
export const isReady = (task: Task, nowMs: number): boolean =>
    !task.isDone && task.run === undefined && nowMs >= task.startableAtMs;
