import type { CapacityIndex } from "./capacity-index.js";
import { ExclusionReason } from "./exclusion-reason.js";
import { exclusionReasonOf } from "./exclusion-reason-of.js";
import type { ExplanationContext } from "./explanation-context.js";
import type { Step } from "./step.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";
import { WorkerRanking } from "./worker-ranking.js";

/** The workers that can take a task of a step now, and why the others cannot. */
interface StepWorkers {
    readonly suitable: number;
    /** Most frequent reason first. */
    readonly excluded: readonly { readonly reason: ExclusionReason; readonly count: number }[];
    /** The worker on which the first task starts; undefined if none does. */
    readonly best: WorkerIncarnation | undefined;
}

/** Returns how many tasks of a step a worker has room for, up to `most`. */
const countTasksThatFit = (worker: WorkerIncarnation, { spec, reservation }: Step, most: number): number => {
    const max = Math.min(most, spec.maxPerWorker ?? most);
    let reserved = worker.reservedOrPending;
    let count = 0;
    while (count < max && reservation.fitsBeside(reserved, worker.entry.capacity)) {
        reserved = reserved.plus(reservation);
        count++;
    }
    return count;
};

/** Explains the choice of a worker for a new step, by the planner's own predicates and ranking. */
export const explainWorkers = (
    step: Step,
    service: string,
    workers: readonly WorkerIncarnation[],
    capacity: CapacityIndex,
    { effects, nowMs }: ExplanationContext,
): StepWorkers => {
    const counts = new Map<ExclusionReason, number>();
    const candidates = capacity.candidates(step, true);
    const candidateSet = new Set(candidates);
    const options = { step, service, effects, nowMs, requiresGoodFit: true };
    const neededTasks = step.spec.gang ? step.spec.count : 1;
    let suitable = 0;
    let tasks = 0;
    for (const worker of workers) {
        const reason = exclusionReasonOf(worker, step, service, nowMs);
        const suits =
            reason === undefined &&
            candidateSet.has(worker) &&
            WorkerRanking.create({ ...options, workers: [worker] }).hasRoom;
        if (suits) {
            suitable++;
            tasks += countTasksThatFit(worker, step, neededTasks - tasks);
        } else {
            const counted = reason ?? ExclusionReason.PoorFit;
            counts.set(counted, (counts.get(counted) ?? 0) + 1);
        }
    }
    const [first] = step.tasks;
    // A gang starts as a whole or not at all.
    const mayStart = first !== undefined && tasks >= neededTasks;
    return {
        suitable,
        excluded: [...counts].map(([reason, count]) => ({ reason, count })).sort((a, b) => b.count - a.count),
        best: mayStart ? WorkerRanking.create({ ...options, workers: candidates }).choose(first) : undefined,
    };
};
