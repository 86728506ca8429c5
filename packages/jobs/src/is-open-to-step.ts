import { acceptsStarts } from "./accepts-starts.js";
import { isSlowWorker } from "./is-slow-worker.js";
import type { Step } from "./step.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** A worker below this speed, relative to the estimates, gets no tasks except lasting ones. */
const StalledSpeed = 0.12;

/** Whether a worker may run tasks of a step, regardless of capacity, of permits and of the tasks that it holds. */
export const isOpenToStep = (
    worker: WorkerIncarnation,
    step: Step,
    service: string,
    nowMs: number,
): boolean => {
    const { entry } = worker;
    const { spec, name } = step;
    return (
        acceptsStarts(worker, service) &&
        // A lasting task must not wait while any worker has capacity, even one that other tasks avoid.
        (spec.lasting || (nowMs >= worker.avoidUntilMs && !isSlowWorker(worker, nowMs, StalledSpeed))) &&
        (spec.requiredLabel === undefined || entry.labels.includes(spec.requiredLabel)) &&
        (spec.maxPerWorker === undefined || worker.countTasksOfStep(name) < spec.maxPerWorker)
    );
};
