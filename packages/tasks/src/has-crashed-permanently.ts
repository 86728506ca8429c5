import type { AttemptLoss } from "./attempt-loss.js";
import { LossVerdict } from "./loss-verdict.js";

/** A task under which this many different workers have crashed ends as failed. */
const MaxCrashedWorkers = 2;

/** Limit on crashes where the task can only be started on the same worker again. */
const MaxCrashes = 3;

/** Whether a task with these losses ends as failed. */
export const hasCrashedPermanently = (losses: readonly AttemptLoss[]): boolean => {
    const crashed = losses.filter(({ verdict }) => verdict === LossVerdict.Crashed);
    const workers = new Set(crashed.map(({ worker }) => worker));
    return workers.size >= MaxCrashedWorkers || crashed.length >= MaxCrashes;
};
