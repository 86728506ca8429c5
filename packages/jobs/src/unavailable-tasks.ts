import type { Step } from "./step.js";

/** Number of a lasting step's tasks that are not at work: without a run, starting up or being stopped. */
export const unavailableTasks = ({ tasks }: Step): number =>
    tasks.filter(({ run }) => run === undefined || run.isStopRequested || run.progressPercent < 100).length;
