import { isSlowWorker } from "./is-slow-worker.js";
import type { Task } from "./task.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** A worker below this speed, relative to the estimates, gets no tasks except lasting ones. */
const StalledSpeed = 0.12;

/** Whether a worker may run a task, regardless of capacity and permits. */
export const isSuitableIgnoringPermits = (
    worker: WorkerIncarnation,
    task: Task,
    service: string,
    nowMs: number,
): boolean => {
    const { entry } = worker;
    const { spec, name } = task.step;
    return (
        entry.service === service &&
        !entry.isDraining &&
        worker.isRegistered &&
        worker.isReachable &&
        worker.hasListedRuns &&
        !worker.isStartBlocked &&
        (worker.trialTask === undefined || worker.trialTask === task) &&
        // A lasting task must not wait while any worker has capacity, even one that other tasks avoid.
        (spec.lasting || (nowMs >= worker.avoidUntilMs && !isSlowWorker(worker, nowMs, StalledSpeed))) &&
        (spec.requiredLabel === undefined || entry.labels.includes(spec.requiredLabel)) &&
        !worker.runs.has(task.name) &&
        !worker.orphanRuns.has(task.name) &&
        (spec.maxPerWorker === undefined || worker.countTasksOfStep(name) < spec.maxPerWorker)
    );
};
