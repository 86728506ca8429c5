import type { QueueRule } from "./queue-rule.js";
import type { Step } from "./step.js";

/** An answer earns less after its target time, and nothing after this many target times. */
const LastTargets = 3;

/** A lasting task that has waited this long goes before short ones, which would else take each room that is freed. */
const LastingWaitMs = 2_000;

/** Place of an open step in the order of starts; lower goes first. */
export class StepRank {
    private constructor(
        private readonly priority: number,
        private readonly isHopeless: boolean,
        /**
         * Latest time to start for an answer in time or, when that has passed, for one that still counts; wall-clock
         * milliseconds. Late work so makes way for what can be in time, until it would be lost.
         */
        private readonly startByMs: number,
    ) {}

    /** `waitedMs` is the longest wait of a lasting step's tasks for a worker; short steps don't need it. */
    static create(step: Step, rule: QueueRule, wallMs: number, waitedMs: number): StepRank {
        const { occurrence } = step;
        if (step.spec.lasting && waitedMs >= LastingWaitMs) {
            return new StepRank(rule.priority, false, wallMs - waitedMs);
        }
        const chainMs = Math.max(0, ...occurrence.steps.map(other => other.criticalPathMs));
        const targetMs = rule.stretch * chainMs + rule.targetMs;
        const inTimeMs = occurrence.dueAtMs + targetMs - step.criticalPathMs;
        const lastMs = occurrence.dueAtMs + LastTargets * targetMs - step.criticalPathMs;
        return new StepRank(rule.priority, wallMs > lastMs, wallMs > inTimeMs ? lastMs : inTimeMs);
    }

    compare(other: StepRank): number {
        return (
            this.priority - other.priority ||
            Number(this.isHopeless) - Number(other.isHopeless) ||
            this.startByMs - other.startByMs
        );
    }
}
