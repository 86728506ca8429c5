import type { QueueRule } from "./queue-rule.js";

/** Time from when a job is due to when its result should be there, in milliseconds. */
export const targetTimeMs = (rule: QueueRule, criticalPathMs: number): number =>
    rule.stretch * criticalPathMs + rule.targetMs;
