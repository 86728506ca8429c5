import type { AttemptLoss } from "./attempt-loss.js";
import { hasCrashedPermanently } from "./has-crashed-permanently.js";
import { LossVerdict } from "./loss-verdict.js";

/** With this many losses, excused ones included, the task waits until it is known whether the workers crashed. */
const MaxUndecidedLosses = 3;

/** With this many losses, the task waits for a decision about the blame for a crash, which takes seconds. */
const MaxLossesBeforeDecision = 2;

/** Whether a task with these losses must not be started, because it is given up or more must be known first. */
export const isStartHeld = (losses: readonly AttemptLoss[]): boolean => {
    const isDecisionPending = losses.some(({ verdict }) => verdict === LossVerdict.Restarted);
    const isUndecided = isDecisionPending || losses.some(({ verdict }) => verdict === LossVerdict.Lost);
    return (
        hasCrashedPermanently(losses) ||
        (isDecisionPending && losses.length >= MaxLossesBeforeDecision) ||
        (isUndecided && losses.length >= MaxUndecidedLosses)
    );
};
