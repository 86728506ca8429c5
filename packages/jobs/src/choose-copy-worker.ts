import type { CapacityIndex } from "./capacity-index.js";
import { isSlowWorker } from "./is-slow-worker.js";
import { isSuitable } from "./is-suitable.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import type { Run } from "./run.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";
import { WorkerRanking } from "./worker-ranking.js";

/** What the choice depends on. */
interface CopyChoice {
    readonly service: string;
    /** Workers whose capacity no waiting task can use. */
    readonly spare: ReadonlySet<WorkerIncarnation>;
    readonly capacity: CapacityIndex;
    readonly effects: NeighbourEffects;
    readonly nowMs: number;
}

/** Workers that are compared for a copy, so that its cost does not grow with the fleet. */
const MaxComparedWorkers = 24;

/** Chooses the worker for a copy, if possible in another rack. */
export const chooseCopyWorker = (
    original: Run,
    { service, spare, capacity, effects, nowMs }: CopyChoice,
): WorkerIncarnation | undefined => {
    const { task, worker: slow } = original;
    const { step } = task;
    const isEligible = (worker: WorkerIncarnation): boolean =>
        worker !== slow &&
        spare.has(worker) &&
        worker.hasCapacityFor(step) &&
        !isSlowWorker(worker, nowMs) &&
        nowMs >= worker.avoidUntilMs &&
        !task.failedWorkerIds.has(worker.entry.id) &&
        !worker.lateStarts.has(task.name) &&
        isSuitable(worker, task, service, nowMs);
    const all = capacity.candidates(step, true);
    // Copies of different tasks begin with different workers.
    const offset = task.lastRun * MaxComparedWorkers + task.index;
    const inOtherRacks: WorkerIncarnation[] = [];
    const inSameRack: WorkerIncarnation[] = [];
    for (let index = 0; index < all.length && inOtherRacks.length < MaxComparedWorkers; index++) {
        const worker = all[(offset + index) % all.length];
        if (worker !== undefined && isEligible(worker)) {
            (worker.entry.rack === slow.entry.rack ? inSameRack : inOtherRacks).push(worker);
        }
    }
    const workers = inOtherRacks.length > 0 ? inOtherRacks : inSameRack;
    return WorkerRanking.create({ workers, step, service, effects, nowMs, requiresGoodFit: true }).choose(
        task,
    );
};
