import { isSlowWorker } from "./is-slow-worker.js";
import type { Task } from "./task.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Speed below which a worker gets no task that ends. */
const StandstillSpeed = 0.12;

/** Whether a worker may run a task, room and permits apart. */
export const isSuitableIgnoringPermits = (
    life: WorkerIncarnation,
    task: Task,
    service: string,
    nowMs: number,
): boolean => {
    const { entry } = life;
    const { spec, name } = task.step;
    return (
        entry.service === service &&
        !entry.isDraining &&
        life.isRegistered &&
        life.isReachable &&
        life.hasListedRuns &&
        !life.isStartBlocked &&
        // A lasting task must not wait while there is room for it, also on a worker that other tasks avoid.
        (spec.lasting || (nowMs >= life.avoidUntilMs && !isSlowWorker(life, nowMs, StandstillSpeed))) &&
        (spec.requiredLabel === undefined || entry.labels.includes(spec.requiredLabel)) &&
        !life.runs.has(task.name) &&
        !life.orphanRuns.has(task.name) &&
        (spec.maxPerWorker === undefined || life.countTasksOfStep(name) < spec.maxPerWorker)
    );
};
