import type { InterferenceWeights } from "./interference-weights.js";
import { LowestCostPolicy } from "./lowest-cost-policy.js";
import type { PlacementRequest } from "./placement-request.js";
import type { SlowdownChange } from "./slowdown-change.js";
import type { SlowdownPredictor } from "./slowdown-predictor.js";
import type { WorkerView } from "./worker-view.js";

/** Smallest relative increase of a slowdown that counts as a disturbance. */
const MinSlowdownIncreaseRatio = 1.01;

/**
 * Chooses the worker on which the task adds least to the weighted slowdowns: its own and those of what already
 * runs there. Slowdowns of latency-critical work count by their square, because the tail of the latency is set
 * by the most disturbed workers. A task that may wait is not placed where it would slow down latency-critical work
 * beyond what is tolerated.
 */
export class InterferenceAwarePolicy extends LowestCostPolicy {
    private readonly change: SlowdownChange = { before: 1, after: 1 };

    private constructor(
        override readonly name: string,
        private readonly predictor: SlowdownPredictor,
        private readonly weights: InterferenceWeights,
    ) {
        super();
    }

    static create(
        predictor: SlowdownPredictor,
        weights: InterferenceWeights,
        name = "interference-aware",
    ): InterferenceAwarePolicy {
        return new InterferenceAwarePolicy(name, predictor, weights);
    }

    protected override cost(worker: WorkerView, request: PlacementRequest): number {
        const { interferenceClass: added, resources } = request;
        const { processorsByClass: classes } = worker;
        const total = worker.capacity.processors;
        const addedProcessors = resources.processors;
        // One load for both, so that the difference holds the effect of the task and not that of two load bands.
        const load = worker.measuredLoad + addedProcessors / total;
        const { change, predictor } = this;
        predictor.predictChange(added, classes, added, addedProcessors, total, load, change);
        let cost = this.weights.load * load + this.penalty(added, change.after, addedProcessors / total);
        for (const [affected, processors] of classes) {
            const share = processors / total;
            predictor.predictChange(affected, classes, added, addedProcessors, total, load, change);
            const { before, after } = change;
            if (request.mayWait === true && this.interferes(affected, before, after)) {
                return Infinity;
            }
            cost += this.penalty(affected, after, share) - this.penalty(affected, before, share);
        }
        return cost;
    }

    /** A task that hardly adds to the slowdown is no reason to wait, however slow the worker already is. */
    private interferes(affected: string, before: number, after: number): boolean {
        const { latencyCriticalClasses, toleratedSlowdown } = this.weights;
        return (
            after > toleratedSlowdown &&
            after > before * MinSlowdownIncreaseRatio &&
            latencyCriticalClasses.has(affected)
        );
    }

    private penalty(affected: string, slowdown: number, share: number): number {
        const { tailLatency, batch, latencyCriticalClasses } = this.weights;
        return latencyCriticalClasses.has(affected)
            ? tailLatency * (slowdown - 1) ** 2
            : batch * share * (slowdown - 1);
    }
}
