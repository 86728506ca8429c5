import type { RunEnd } from "./run-end.js";
import type { Task } from "./task.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Told of each end that changes a task. */
export type EndObserver = (task: Task, life: WorkerIncarnation, end: RunEnd) => void;
