import { longestWaitMs } from "./longest-wait-ms.js";
import type { Step } from "./step.js";

/** A serving task waits this long for a worker with compatible images before a poorer fit is accepted. */
const SameImagesWaitMs = 600;
/** A lasting filler, or one of a job without any run, waits this long before it may start where it is slow. */
const FillerWaitMs = 2_000;

const hasActiveRun = (step: Step): boolean => {
    for (const task of step.occurrence.job.tasks()) {
        if (task.run !== undefined) {
            return true;
        }
    }
    return false;
};

/** Whether a step has waited long enough for a well fitting worker that it may start on any other one. */
export const mayRelaxFit = (step: Step, nowMs: number): boolean => {
    const waitedMs = longestWaitMs(step, nowMs);
    if (step.spec.filler) {
        return waitedMs >= FillerWaitMs && (step.spec.lasting || !hasActiveRun(step));
    }
    return step.spec.tailTargetMs > 0 && waitedMs >= SameImagesWaitMs;
};
