import type { Run } from "./run.js";
import { StopReason } from "./stop-reason.js";

/** A preempted task is not restarted for this long, so that it does not take back the capacity it gave up. */
const RestartDelayMs = 800;

/** Marks a lasting task's run to be stopped for another task. */
export const preemptRun = (run: Run, nowMs: number): void => {
    run.stopReason = StopReason.Preempted;
    run.task.notBeforeMs = nowMs + RestartDelayMs;
};
