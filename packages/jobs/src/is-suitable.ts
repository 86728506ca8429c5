import { isSuitableIgnoringPermits } from "./is-suitable-ignoring-permits.js";
import type { Task } from "./task.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Whether a worker may run a task, room apart. */
export const isSuitable = (life: WorkerIncarnation, task: Task, service: string, nowMs: number): boolean => {
    const { permits } = task.step;
    const isPermitted = permits === undefined || permits.ticketFor(life, nowMs) !== undefined;
    return isPermitted && isSuitableIgnoringPermits(life, task, service, nowMs);
};
