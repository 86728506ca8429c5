import { isOpenToStep } from "./is-open-to-step.js";
import type { Task } from "./task.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Whether a worker may run a task, regardless of capacity and permits. */
export const isSuitableIgnoringPermits = (
    worker: WorkerIncarnation,
    task: Task,
    service: string,
    nowMs: number,
): boolean =>
    !worker.holds(task.name) &&
    !worker.hasTrialOfOther(task) &&
    isOpenToStep(worker, task.step, service, nowMs);
