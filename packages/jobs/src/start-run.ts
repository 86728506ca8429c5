import { Run } from "./run.js";
import type { Task } from "./task.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Creates a run that is to be started, and reserves its resources on the worker. */
export const startRun = (task: Task, worker: WorkerIncarnation, number: number, nowMs: number): Run => {
    const run = Run.create(task, worker, number, nowMs);
    run.ticket = task.step.permits?.ticketFor(worker, nowMs);
    task.lastRun = number;
    worker.add(run);
    return run;
};
