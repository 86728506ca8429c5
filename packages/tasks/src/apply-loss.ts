import type { AttemptLoss } from "./attempt-loss.js";
import { LossVerdict } from "./loss-verdict.js";

const noLosses: readonly AttemptLoss[] = [];

/** Verdicts that start an entry; the others need one. */
const isFirstVerdict = (verdict: LossVerdict): boolean =>
    verdict === LossVerdict.Lost || verdict === LossVerdict.Restarted || verdict === LossVerdict.Excused;

/**
 * Returns a task's losses after a verdict on one of its attempts. A loss is noted while the attempt is active; later
 * verdicts on it apply as long as the task has not ended.
 */
export const applyLoss = (
    losses: readonly AttemptLoss[],
    loss: AttemptLoss,
    isActive: boolean,
): readonly AttemptLoss[] => {
    if (loss.verdict === LossVerdict.Trusted) {
        return isActive ? noLosses : losses;
    }
    const known = losses.find(({ attempt }) => attempt === loss.attempt);
    const isApplicable =
        known === undefined ? isActive && isFirstVerdict(loss.verdict) : !isOlder(loss, known);
    if (!isApplicable) {
        return losses;
    }
    const others = losses.filter(other => other !== known);
    const { attempt, worker, verdict, ranMs } = loss;
    return verdict === LossVerdict.Cleared ? others : [...others, { attempt, worker, verdict, ranMs }];
};

/** Whether a lease has ended after more was known about the worker. */
const isOlder = (loss: AttemptLoss, known: AttemptLoss): boolean =>
    loss.verdict === LossVerdict.Lost && known.verdict !== LossVerdict.Lost;
