import { longestOverdueMs } from "./longest-overdue-ms.js";
import type { OrderCandidate } from "./order-candidate.js";
import type { QueueRule } from "./queue-rule.js";
import type { Step } from "./step.js";

/** Returns the candidate that a plan makes of an open step now, without a change of the step. */
export const orderCandidateOf = (step: Step, rule: QueueRule, nowMs: number): OrderCandidate => ({
    step,
    rule,
    overdueMs: longestOverdueMs(step, nowMs),
});
