import type { OrderCandidate } from "./order-candidate.js";
import { overdueTasks } from "./overdue-tasks.js";
import type { QueueRule } from "./queue-rule.js";
import type { Step } from "./step.js";

/** Returns the candidate that a plan makes of an open step now, without a change of the step. */
export const orderCandidateOf = (step: Step, rule: QueueRule, nowMs: number): OrderCandidate => {
    const [first] = overdueTasks(step, nowMs);
    const overdueMs = first === undefined ? undefined : nowMs - (first.readySinceMs ?? nowMs);
    return { step, rule, overdueMs };
};
