import type { WorkerIncarnation } from "./worker-incarnation.js";

/** A worker is slow below this speed, relative to the estimates. */
const SlowSpeed = 0.45;
/** A speed reading expires after this time, so that the worker is tried again. */
const SpeedValidMs = 4_000;

/** Whether the tasks of a worker have recently made much less progress than estimated. */
export const isSlowWorker = (worker: WorkerIncarnation, nowMs: number, belowSpeed = SlowSpeed): boolean =>
    worker.speed < belowSpeed && nowMs - worker.speedUpdatedAtMs < SpeedValidMs;
