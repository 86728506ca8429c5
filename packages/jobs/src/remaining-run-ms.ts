import type { Run } from "./run.js";

/** Bounds the expected time on a worker that hardly advances. */
const MinSpeed = 0.02;

/** Expected time until a short run ends where it is, in milliseconds, by its progress and its worker's speed. */
export const remainingRunMs = ({ progressPercent, task, worker }: Run): number =>
    ((1 - progressPercent / 100) * task.step.spec.estimatedMs) / Math.max(worker.speed, MinSpeed);
