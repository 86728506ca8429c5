import type { InterferenceWeights } from "./interference-weights.js";
import { LowestCostPolicy } from "./lowest-cost-policy.js";
import type { PlacementRequest } from "./placement-request.js";
import type { SlowdownChange } from "./slowdown-change.js";
import type { SlowdownPredictor } from "./slowdown-predictor.js";
import type { WorkerView } from "./worker-view.js";

/** Smallest ratio between a slowdown after and before placement that counts as interference. */
const MinSlowdownIncreaseRatio = 1.01;

/**
 * Chooses the worker on which the task adds least to the weighted sum of slowdowns, its own and those of the tasks
 * that run there. Slowdowns of latency-critical work are squared, because the workers with the most interference
 * determine the tail latency. A task that may wait is not placed where it would slow down latency-critical work
 * beyond `toleratedSlowdown`.
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
        const { interferenceClass: addedClass, resources } = request;
        const { processorsByClass } = worker;
        const totalProcessors = worker.capacity.processors;
        const addedProcessors = resources.processors;
        // Both predictions use the same load. Otherwise their difference would include the step between load bands.
        const load = worker.measuredLoad + addedProcessors / totalProcessors;
        const { change, predictor } = this;
        predictor.predictChange(
            addedClass,
            processorsByClass,
            addedClass,
            addedProcessors,
            totalProcessors,
            load,
            change,
        );
        let cost =
            this.weights.load * load +
            this.penalty(addedClass, change.after, addedProcessors / totalProcessors);
        for (const [affected, processors] of processorsByClass) {
            const share = processors / totalProcessors;
            predictor.predictChange(
                affected,
                processorsByClass,
                addedClass,
                addedProcessors,
                totalProcessors,
                load,
                change,
            );
            const { before, after } = change;
            if (request.mayWait === true && this.interferes(affected, before, after)) {
                return Infinity;
            }
            cost += this.penalty(affected, after, share) - this.penalty(affected, before, share);
        }
        return cost;
    }

    /** A task that hardly adds to the slowdown need not wait, however high the slowdown already is. */
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
