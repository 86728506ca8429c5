import { isSuitableIgnoringPermits } from "./is-suitable-ignoring-permits.js";
import type { Task } from "./task.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Whether a worker may run a task, regardless of capacity. */
export const isSuitable = (worker: WorkerIncarnation, task: Task, service: string, nowMs: number): boolean =>
    task.step.isPermittedOn(worker, nowMs) && isSuitableIgnoringPermits(worker, task, service, nowMs);
