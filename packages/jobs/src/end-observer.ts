import type { RunEnd } from "./run-end.js";
import type { Task } from "./task.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Called for each end of a run that is applied to its task. */
export type EndObserver = (task: Task, worker: WorkerIncarnation, end: RunEnd) => void;
