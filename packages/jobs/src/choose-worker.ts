import { isSlowWorker } from "./is-slow-worker.js";
import { isSuitable } from "./is-suitable.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import type { Run } from "./run.js";
import type { StepSpec } from "./step-spec.js";
import type { Task } from "./task.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Share of its request that a serving task uses on average; the rest is left to fillers. */
const ServingUse = 0.5;
/** Share of its request that a filler must find unused to be started. */
const FillerShare = 0.5;
/** Share of its speed below which a filler is not started on a worker. */
const LeastAllowedShare = 0.9;
const AllowedWeight = 1.5;
const UnservedWeight = 0.7;
/** Weights of a worker's fitness against the share of its processors that is free (0 to 1). */
const RackWeight = 4;
const FailedHereWeight = 8;
const SlowWorkerWeight = 6;
const AvoidedWeight = 6;
/** Serving tasks are grouped by image: fillers that spare an image can then run beside it. */
const SameImageWeight = 0.3;
const OtherImageWeight = 0.1;
const DisturbedWeight = 0.8;
const LossWeight = 3;
/** Part of the filler images that a serving task may close a worker to and still counts as one of its kind. */
const LeastLoss = 0.1;
/** Expected ratio of a serving task's tail to its target from which a worker counts as disturbed for it. */
const UndisturbedRatio = 0.6;

/** Share of its request that a run is expected to use. */
const shareInUse = (run: Run): number => (run.task.step.spec.tailTargetMs > 0 ? ServingUse : 1);

/** Expected use by worker, kept while the worker's version stays. */
const useCache = new WeakMap<WorkerIncarnation, { readonly version: number; readonly use: number }>();

/** Processors that the runs of a worker are expected to use. */
const expectedUse = (life: WorkerIncarnation): number => {
    const known = useCache.get(life);
    if (known?.version === life.version) {
        return known.use;
    }
    let use = 0;
    for (const run of life.runs.values()) {
        use += run.task.step.spec.resources.processors * shareInUse(run);
    }
    useCache.set(life, { version: life.version, use });
    return use;
};

const rackOf = (task: Task): string | undefined =>
    task.step.tasks.find(other => other.run !== undefined)?.run?.worker.entry.rack;

/** Fitness for a serving task by the images of those that are there. */
const imageFitness = (life: WorkerIncarnation, image: string): number => {
    let score = 0;
    for (const run of life.runs.values()) {
        const { spec } = run.task.step;
        if (spec.tailTargetMs > 0) {
            score += spec.image === image ? SameImageWeight : -OtherImageWeight;
        }
    }
    return score;
};

/** Workers without serving tasks are kept for fillers that cannot run beside any. */
const spareFitness = (life: WorkerIncarnation): number => {
    for (const run of life.runs.values()) {
        if (run.task.step.spec.tailTargetMs > 0) {
            return 0;
        }
    }
    return -UnservedWeight;
};

/** Fitness for the processors that are free, and for who would disturb whom. */
const shareFitness = (
    life: WorkerIncarnation,
    spec: StepSpec,
    effects: NeighbourEffects,
    nowMs: number,
    isChoosy: boolean,
): number => {
    const free = (life.entry.capacity.processors - expectedUse(life)) / life.entry.capacity.processors;
    if (spec.filler) {
        const allowed = effects.allowedSpeed(life, spec, nowMs);
        return isChoosy && allowed < LeastAllowedShare
            ? -Infinity
            : free + AllowedWeight * allowed + spareFitness(life);
    }
    if (spec.tailTargetMs > 0) {
        const disturbed = Math.max(0, effects.expectedTailRatio(life, spec) - UndisturbedRatio);
        const loss = effects.compatibilityLoss(life, spec.image);
        return free + imageFitness(life, spec.image) - DisturbedWeight * disturbed - LossWeight * loss;
    }
    return free;
};

const fitness = (
    life: WorkerIncarnation,
    task: Task,
    rack: string | undefined,
    effects: NeighbourEffects,
    nowMs: number,
    isChoosy: boolean,
): number => {
    const { entry } = life;
    const { spec } = task.step;
    let score = shareFitness(life, spec, effects, nowMs, isChoosy);
    if (spec.preferredRack !== undefined && entry.rack === spec.preferredRack) {
        score += RackWeight;
    }
    if (rack !== undefined && entry.rack === rack) {
        score += RackWeight;
    }
    if (nowMs < life.avoidUntilMs) {
        score -= AvoidedWeight;
    }
    if (isSlowWorker(life, nowMs)) {
        score -= SlowWorkerWeight;
    }
    if (task.failedWorkerIds.has(entry.id)) {
        score -= FailedHereWeight;
    }
    return score;
};

const hasUseForFiller = (life: WorkerIncarnation, spec: StepSpec): boolean =>
    life.entry.capacity.processors - expectedUse(life) >= spec.resources.processors * FillerShare;

/**
 * The worker on which a task starts next; undefined while none has room for it. With `isChoosy`, a serving task gets
 * a worker only among its kind, and a filler only where it can work at its speed.
 */
export const chooseWorker = (
    lives: Iterable<WorkerIncarnation>,
    task: Task,
    service: string,
    effects: NeighbourEffects,
    nowMs: number,
    isChoosy = true,
): WorkerIncarnation | undefined => {
    const { spec } = task.step;
    const rack = spec.sameRack ? rackOf(task) : undefined;
    let best: WorkerIncarnation | undefined;
    let bestScore = -Infinity;
    for (const life of lives) {
        if (
            !life.hasCapacityFor(task.step.reservation) ||
            !isSuitable(life, task, service, nowMs) ||
            (isChoosy && spec.filler && !hasUseForFiller(life, spec)) ||
            ((isChoosy || nowMs < life.sameImagesOnlyUntilMs) &&
                spec.tailTargetMs > 0 &&
                effects.compatibilityLoss(life, spec.image) > LeastLoss)
        ) {
            continue;
        }
        const score = fitness(life, task, rack, effects, nowMs, isChoosy);
        if (score > bestScore) {
            best = life;
            bestScore = score;
        }
    }
    return best;
};
