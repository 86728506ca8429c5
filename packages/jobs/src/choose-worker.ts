import { isSlowWorker } from "./is-slow-worker.js";
import { isSuitable } from "./is-suitable.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import type { Run } from "./run.js";
import type { StepSpec } from "./step-spec.js";
import type { Task } from "./task.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Share of its request that placement keeps for a serving task, more than its mean; fillers may use the rest. */
const ServingUseRatio = 0.5;
/** Share of a filler's request that must be unused on a worker for the filler to start there. */
const MinUnusedRequestRatio = 0.5;
/** A filler is not started where it could work at less than this share of its full speed. */
const MinAllowedSpeed = 0.9;
const AllowedSpeedWeight = 1.5;
const NoServingTaskWeight = 0.7;
/** Weights in a worker's fitness score, relative to the share of its processors that is free (0 to 1). */
const RackWeight = 4;
const FailedOnWorkerWeight = 8;
const SlowWorkerWeight = 6;
const AvoidedWorkerWeight = 6;
/** Serving tasks are grouped by image, so that fillers which do not disturb that image can run beside them. */
const SameImageWeight = 0.3;
const OtherImageWeight = 0.1;
const DisturbanceWeight = 0.8;
const CompatibilityLossWeight = 3;
/** Largest share of filler images that a serving task may rule out on a worker that counts as a good fit. */
const MaxCompatibilityLoss = 0.1;
/** Expected ratio of a serving task's tail latency to its target above which the worker's score is reduced. */
const UndisturbedTailRatio = 0.6;

/** Share of its processor request that a run is expected to use. */
const expectedUseRatio = (run: Run): number => (run.task.step.spec.tailTargetMs > 0 ? ServingUseRatio : 1);

/** Expected use by worker, valid while the worker's version is unchanged. */
const expectedUseCache = new WeakMap<WorkerIncarnation, { readonly version: number; readonly use: number }>();

/** Number of processors that the runs of a worker are expected to use. */
const expectedProcessorUse = (worker: WorkerIncarnation): number => {
    const cached = expectedUseCache.get(worker);
    if (cached?.version === worker.version) {
        return cached.use;
    }
    let use = 0;
    for (const run of worker.runs.values()) {
        use += run.task.step.spec.resources.processors * expectedUseRatio(run);
    }
    expectedUseCache.set(worker, { version: worker.version, use });
    return use;
};

const rackOfStep = (task: Task): string | undefined =>
    task.step.tasks.find(other => other.run !== undefined)?.run?.worker.entry.rack;

/** Fitness for a serving task, by the images of the serving tasks on the worker. */
const imageFitness = (worker: WorkerIncarnation, image: string): number => {
    let score = 0;
    for (const run of worker.runs.values()) {
        const { spec } = run.task.step;
        if (spec.tailTargetMs > 0) {
            score += spec.image === image ? SameImageWeight : -OtherImageWeight;
        }
    }
    return score;
};

/** Penalty that keeps workers without serving tasks free for fillers that cannot run beside any. */
const noServingTaskFitness = (worker: WorkerIncarnation): number => {
    for (const run of worker.runs.values()) {
        if (run.task.step.spec.tailTargetMs > 0) {
            return 0;
        }
    }
    return -NoServingTaskWeight;
};

/** Fitness by free processors and by the interference between fillers and serving tasks. */
const loadFitness = (
    worker: WorkerIncarnation,
    spec: StepSpec,
    effects: NeighbourEffects,
    nowMs: number,
    requiresGoodFit: boolean,
): number => {
    const free =
        (worker.entry.capacity.processors - expectedProcessorUse(worker)) / worker.entry.capacity.processors;
    if (spec.filler) {
        const allowed = effects.allowedSpeed(worker, spec, nowMs);
        return requiresGoodFit && allowed < MinAllowedSpeed
            ? -Infinity
            : free + AllowedSpeedWeight * allowed + noServingTaskFitness(worker);
    }
    if (spec.tailTargetMs > 0) {
        const disturbance = Math.max(0, effects.expectedTailRatio(worker, spec) - UndisturbedTailRatio);
        const loss = effects.compatibilityLoss(worker, spec.image);
        return (
            free +
            imageFitness(worker, spec.image) -
            DisturbanceWeight * disturbance -
            CompatibilityLossWeight * loss
        );
    }
    return free;
};

const fitness = (
    worker: WorkerIncarnation,
    task: Task,
    rack: string | undefined,
    effects: NeighbourEffects,
    nowMs: number,
    requiresGoodFit: boolean,
): number => {
    const { entry } = worker;
    const { spec } = task.step;
    let score = loadFitness(worker, spec, effects, nowMs, requiresGoodFit);
    if (spec.preferredRack !== undefined && entry.rack === spec.preferredRack) {
        score += RackWeight;
    }
    if (rack !== undefined && entry.rack === rack) {
        score += RackWeight;
    }
    if (nowMs < worker.avoidUntilMs) {
        score -= AvoidedWorkerWeight;
    }
    if (isSlowWorker(worker, nowMs)) {
        score -= SlowWorkerWeight;
    }
    if (task.failedWorkerIds.has(entry.id)) {
        score -= FailedOnWorkerWeight;
    }
    return score;
};

const hasUnusedProcessorsFor = (worker: WorkerIncarnation, spec: StepSpec): boolean =>
    worker.entry.capacity.processors - expectedProcessorUse(worker) >=
    spec.resources.processors * MinUnusedRequestRatio;

/**
 * Chooses the worker on which a task starts; undefined if none has capacity. With `requiresGoodFit`, serving tasks are
 * placed only with compatible images, and fillers only where they can work at nearly full speed.
 */
export const chooseWorker = (
    workers: Iterable<WorkerIncarnation>,
    task: Task,
    service: string,
    effects: NeighbourEffects,
    nowMs: number,
    requiresGoodFit = true,
): WorkerIncarnation | undefined => {
    const { spec } = task.step;
    const rack = spec.sameRack ? rackOfStep(task) : undefined;
    let best: WorkerIncarnation | undefined;
    let bestScore = -Infinity;
    for (const worker of workers) {
        if (
            !worker.hasCapacityFor(task.step.reservation) ||
            !isSuitable(worker, task, service, nowMs) ||
            (requiresGoodFit && spec.filler && !hasUnusedProcessorsFor(worker, spec)) ||
            ((requiresGoodFit || nowMs < worker.sameImagesOnlyUntilMs) &&
                spec.tailTargetMs > 0 &&
                effects.compatibilityLoss(worker, spec.image) > MaxCompatibilityLoss)
        ) {
            continue;
        }
        const score = fitness(worker, task, rack, effects, nowMs, requiresGoodFit);
        if (score > bestScore) {
            best = worker;
            bestScore = score;
        }
    }
    return best;
};
