import { longestOverdueMs } from "./longest-overdue-ms.js";
import type { QueueRule } from "./queue-rule.js";
import type { Step } from "./step.js";
import { StepRank } from "./step-rank.js";

/** Returns the rank that a plan gives an open step now, without a change of the step. */
export const rankOfStep = (step: Step, rule: QueueRule, nowMs: number, wallMs: number): StepRank =>
    StepRank.create(step, rule, wallMs, longestOverdueMs(step, nowMs));
