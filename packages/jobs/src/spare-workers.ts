import { isOpenToStep } from "./is-open-to-step.js";
import type { RankedStep } from "./ranked-step.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Whether a task of a step may run on the worker, now or once other runs have ended. */
const mayUse = (worker: WorkerIncarnation, { step, service }: RankedStep, nowMs: number): boolean =>
    step.reservation.fitsIn(worker.entry.capacity) && isOpenToStep(worker, step, service, nowMs);

/** Returns the workers whose capacity no waiting task can use. `waiting` are the steps with ready tasks that found no room. */
export const spareWorkers = (
    workers: Iterable<WorkerIncarnation>,
    waiting: readonly RankedStep[],
    nowMs: number,
): ReadonlySet<WorkerIncarnation> =>
    new Set([...workers].filter(worker => !waiting.some(step => mayUse(worker, step, nowMs))));
