import { minUnusedProcessors } from "./min-unused-processors.js";
import type { Step } from "./step.js";
import { unusedProcessors } from "./unused-processors.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Processors by which sums of fractional reservations may differ from the exact sum. */
const RoundingTolerance = 1e-6;

/** A number for each worker of the index, in fleet order, and the largest of them. */
interface Column {
    readonly values: Float64Array;
    readonly largest: number;
    /** The workers with at least a number, by that number. Few steps ask for different ones. */
    readonly candidates: Map<number, readonly WorkerIncarnation[]>;
}

const columnOf = (
    workers: readonly WorkerIncarnation[],
    valueOf: (worker: WorkerIncarnation) => number,
): Column => {
    const values = Float64Array.from(workers, valueOf);
    return { values, largest: values.reduce((a, b) => Math.max(a, b), -Infinity), candidates: new Map() };
};

/**
 * The processors that each worker has left at the start of a plan, by which most steps without a worker are recognized
 * at once. Starts only take capacity, so a worker that is no candidate has none for the rest of the plan.
 */
export class CapacityIndex {
    private readonly workers: readonly WorkerIncarnation[];
    private readonly free: Column;
    private readonly unused: Column;

    private constructor(workers: Iterable<WorkerIncarnation>) {
        this.workers = [...workers];
        this.free = columnOf(
            this.workers,
            ({ entry, reservedOrPending }) => entry.capacity.processors - reservedOrPending.processors,
        );
        this.unused = columnOf(this.workers, unusedProcessors);
    }

    static create(workers: Iterable<WorkerIncarnation>): CapacityIndex {
        return new CapacityIndex(workers);
    }

    /** Returns the workers whose processors may be enough for a task of a step, in fleet order. */
    candidates({ spec, reservation }: Step, requiresGoodFit: boolean): readonly WorkerIncarnation[] {
        const usesUnused = spec.filler && requiresGoodFit;
        const { values, largest, candidates } = usesUnused ? this.unused : this.free;
        const needed = (usesUnused ? minUnusedProcessors(spec) : reservation.processors) - RoundingTolerance;
        if (largest < needed) {
            return [];
        }
        let workers = candidates.get(needed);
        if (workers === undefined) {
            workers = this.workers.filter((_, index) => Number(values[index]) >= needed);
            candidates.set(needed, workers);
        }
        return workers;
    }
}
