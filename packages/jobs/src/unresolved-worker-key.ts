import { recentStartMs } from "./recent-start-ms.js";
import type { Run } from "./run.js";
import type { Task } from "./task.js";

/** Key of the run's worker if it became silent soon after the start and is not known to be lost. */
const unresolvedKeyOf = (run: Run | undefined): string | undefined => {
    if (run === undefined || run.worker.isReachable || run.worker.isLost || run.worker.entry.isDraining) {
        return undefined;
    }
    const isRecent = run.worker.lastContactAtMs - run.startedAtMs < recentStartMs;
    const { trialTask } = run.worker;
    return isRecent && trialTask === undefined ? run.worker.key : undefined;
};

/**
 * Key of the worker whose loss the next owner has to count against the task if no end of the run is listed: that of its
 * trial, or one that does not answer and on which it has started lately. Undefined if there is none.
 */
export const unresolvedWorkerKey = ({ run, copy, trial, inheritedWorkerKey }: Task): string | undefined => {
    if (trial !== undefined || inheritedWorkerKey !== undefined) {
        return trial?.worker.key ?? inheritedWorkerKey;
    }
    return unresolvedKeyOf(run) ?? unresolvedKeyOf(copy);
};
