import { maxUsefulTargets } from "./max-useful-targets.js";
import type { QueueRule } from "./queue-rule.js";
import type { Step } from "./step.js";
import { targetTimeMs } from "./target-time-ms.js";

/** Rank of an open step in the start order; lower ranks go first. */
export class StepRank {
    private constructor(
        private readonly priority: number,
        readonly isTooLate: boolean,
        /**
         * Latest start, as wall-clock time, for a result within the target time or, once that has passed, for one
         * that still has value. Late work therefore yields to work that can be in time, until it would be lost.
         */
        readonly startByMs: number,
    ) {}

    /** `overdueMs` is the longest time that the step's overdue tasks have waited; undefined if none is overdue. */
    static create(step: Step, rule: QueueRule, wallMs: number, overdueMs: number | undefined): StepRank {
        const { occurrence } = step;
        if (overdueMs !== undefined) {
            return new StepRank(rule.priority, false, wallMs - overdueMs);
        }
        const targetMs = targetTimeMs(rule, occurrence.criticalPathMs);
        const latestInTimeMs = occurrence.dueAtMs + targetMs - step.criticalPathMs;
        const latestUsefulMs = occurrence.dueAtMs + maxUsefulTargets * targetMs - step.criticalPathMs;
        return new StepRank(
            rule.priority,
            wallMs > latestUsefulMs,
            wallMs > latestInTimeMs ? latestUsefulMs : latestInTimeMs,
        );
    }

    compare(other: StepRank): number {
        return (
            this.priority - other.priority ||
            Number(this.isTooLate) - Number(other.isTooLate) ||
            this.startByMs - other.startByMs
        );
    }
}
