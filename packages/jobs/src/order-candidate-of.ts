import { overdueTasks } from "./overdue-tasks.js";
import type { QueueRule } from "./queue-rule.js";
import type { Step } from "./step.js";
import { StepRank } from "./step-rank.js";

/** Returns the rank that a plan gives an open step now, without a change of the step. */
export const rankOfStep = (step: Step, rule: QueueRule, nowMs: number, wallMs: number): StepRank => {
    const [first] = overdueTasks(step, nowMs);
    const overdueMs = first === undefined ? undefined : nowMs - (first.readySinceMs ?? nowMs);
    return StepRank.create(step, rule, wallMs, overdueMs);
};
