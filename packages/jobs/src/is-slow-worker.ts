import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Speed against the estimates below which a worker is slow. */
const SlowSpeed = 0.45;
/** A reading of the speed tells nothing after this time: the worker is tried again. */
const ForgetMs = 4_000;

/** Whether the tasks of a worker have lately made much less progress than estimated. */
export const isSlowWorker = (life: WorkerIncarnation, nowMs: number, belowSpeed = SlowSpeed): boolean =>
    life.speed < belowSpeed && nowMs - life.speedUpdatedAtMs < ForgetMs;
