import type { Step } from "./step.js";
import { StepEstimates } from "./step-estimates.js";

/** Bounds of a measured factor: a stalled or throttled task says little about the estimate. */
const MinFactor = 0.25;
const MaxFactor = 4;
/** Weight of a further step in the factor of its queue, once enough steps have been measured. */
const MinWeight = 0.05;
/** Steps of a queue after which its factor counts as known. */
const MinSteps = 5;
/** Share by which estimates of queues without measured steps may be too short; callers' estimates are rough. */
const UnsureShare = 0.25;

/** The mean measured factor of a queue. */
interface QueueFactor {
    factor: number;
    steps: number;
}

/**
 * Corrects the submitters' estimates of task durations by the measured speed of a step's own tasks or, before there is
 * one, by that of earlier steps of its queue.
 */
export class DurationEstimates extends StepEstimates {
    private readonly measured = new WeakSet<Step>();
    private readonly queues = new Map<string, QueueFactor>();

    private constructor() {
        super();
    }

    static create(): DurationEstimates {
        return new DurationEstimates();
    }

    /** Learns from a step once its tasks' speed has been measured. */
    override learn(step: Step): void {
        const speed = step.meanRelativeSpeed;
        if (speed === undefined || speed <= 0 || this.measured.has(step)) {
            return;
        }
        this.measured.add(step);
        const { queue } = step.occurrence.job.spec;
        const known = this.queues.get(queue) ?? { factor: 1, steps: 0 };
        known.steps++;
        known.factor += (this.bounded(1 / speed) - known.factor) * Math.max(MinWeight, 1 / known.steps);
        this.queues.set(queue, known);
    }

    /** Expected duration of a task relative to its estimate. */
    override factorOf(step: Step): number {
        const speed = step.meanRelativeSpeed;
        if (speed !== undefined && speed > 0) {
            return this.bounded(1 / speed);
        }
        const known = this.queues.get(step.occurrence.job.spec.queue);
        return known !== undefined && known.steps >= MinSteps ? known.factor : 1;
    }

    /** Share of the expected duration to add where a result has to be in time; 0 once the queue has been measured. */
    override unsureShareOf(step: Step): number {
        const isMeasured = step.meanRelativeSpeed !== undefined;
        const steps = this.queues.get(step.occurrence.job.spec.queue)?.steps ?? 0;
        return isMeasured || steps >= MinSteps ? 0 : UnsureShare;
    }

    private bounded(factor: number): number {
        return Math.min(MaxFactor, Math.max(MinFactor, factor));
    }
}
