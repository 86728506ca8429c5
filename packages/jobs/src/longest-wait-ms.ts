import type { Step } from "./step.js";

/** Longest time that a task of the step has been ready without a worker, in milliseconds. */
export const longestWaitMs = (step: Step, nowMs: number): number =>
    Math.max(0, ...step.tasks.map(task => nowMs - (task.readySinceMs ?? nowMs)));
