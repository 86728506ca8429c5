import type { QueueRule } from "./queue-rule.js";
import type { Step } from "./step.js";

/** An open step with a ready task, to be put in the start order. */
export interface OrderCandidate {
    readonly step: Step;
    readonly rule: QueueRule;
    /** Longest time that the step's overdue tasks have waited, in milliseconds; undefined if none is overdue. */
    readonly overdueMs: number | undefined;
}
