import { isSlowWorker } from "./is-slow-worker.js";
import { isOpenToStep } from "./is-open-to-step.js";
import { isStarved } from "./is-starved.js";
import { minUnusedProcessors } from "./min-unused-processors.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import { overdueTasks } from "./overdue-tasks.js";
import type { Step } from "./step.js";
import type { StepSpec } from "./step-spec.js";
import type { Task } from "./task.js";
import { unusedProcessors } from "./unused-processors.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

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

const rackOfStep = (step: Step): string | undefined =>
    step.tasks.find(task => task.run !== undefined)?.run?.worker.entry.rack;

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
    const free = unusedProcessors(worker) / worker.entry.capacity.processors;
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

/** Fitness for any task of a step, regardless of the workers on which the task failed. */
const fitness = (
    worker: WorkerIncarnation,
    spec: StepSpec,
    rack: string | undefined,
    effects: NeighbourEffects,
    nowMs: number,
    requiresGoodFit: boolean,
): number => {
    const { entry } = worker;
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
    return score;
};

/** What a ranking is made for. */
interface RankingContext {
    readonly workers: Iterable<WorkerIncarnation>;
    readonly step: Step;
    readonly service: string;
    readonly effects: NeighbourEffects;
    readonly nowMs: number;
    /**
     * Serving tasks are placed only with compatible images, unless they are overdue, and fillers only where they work at
     * nearly full speed.
     */
    readonly requiresGoodFit: boolean;
}

/** A worker with its score at one of its versions; -Infinity if it can take no more tasks of the step. */
interface RankedWorker {
    readonly worker: WorkerIncarnation;
    version: number;
    score: number;
}

/**
 * Chooses the workers for the tasks of one step at one time. The tasks of a step are alike, so that each worker is
 * scored once, and again only after a change of its runs.
 */
export class WorkerRanking {
    /** The workers that can take a task, in fleet order; tasks of the step cannot make others able to take one. */
    private readonly ranked: RankedWorker[] = [];
    private rack: string | undefined;
    /** Whether tasks of the step are overdue or even starved; these accept workers with other images. */
    private readonly isOverdue: boolean;
    private readonly isStarved: boolean;

    private constructor(private readonly context: RankingContext) {
        const { step, nowMs } = context;
        const [overdue] = overdueTasks(step, nowMs);
        this.isOverdue = overdue !== undefined;
        this.isStarved = overdue !== undefined && isStarved(overdue, nowMs);
        this.rack = this.rackToPrefer();
        for (const worker of context.workers) {
            const score = this.score(worker);
            if (score > -Infinity) {
                this.ranked.push({ worker, version: worker.version, score });
            }
        }
    }

    static create(context: RankingContext): WorkerRanking {
        return new WorkerRanking(context);
    }

    /** Chooses the worker on which a task of the step starts; undefined if none can take it. */
    choose(task: Task): WorkerIncarnation | undefined {
        const rack = this.rackToPrefer();
        const hasOtherRack = rack !== this.rack;
        this.rack = rack;
        let best: WorkerIncarnation | undefined;
        let bestScore = -Infinity;
        for (const each of this.ranked) {
            const { worker } = each;
            if (hasOtherRack || each.version !== worker.version) {
                each.version = worker.version;
                each.score = this.score(worker);
            }
            if (each.score > bestScore && !worker.holds(task.name) && !worker.hasTrialOfOther(task)) {
                const hasFailed = task.failedWorkerIds.has(worker.entry.id);
                const score = hasFailed ? each.score - FailedOnWorkerWeight : each.score;
                if (score > bestScore) {
                    best = worker;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    /** Whether a worker that `choose` does not return for some tasks of the step could take others. */
    get hasRoom(): boolean {
        return this.ranked.some(({ worker, score }) => score > -Infinity && worker.trialTask === undefined);
    }

    private rackToPrefer(): string | undefined {
        const { step } = this.context;
        return step.spec.sameRack ? rackOfStep(step) : undefined;
    }

    private score(worker: WorkerIncarnation): number {
        const { step, effects, nowMs, requiresGoodFit } = this.context;
        return this.canTake(worker)
            ? fitness(worker, step.spec, this.rack, effects, nowMs, requiresGoodFit)
            : -Infinity;
    }

    /** Whether the tasks may only start on a worker whose serving images are compatible with theirs. */
    private requiresCompatibleImages(worker: WorkerIncarnation): boolean {
        const { step, nowMs, requiresGoodFit } = this.context;
        if (step.spec.tailTargetMs === 0 || this.isStarved) {
            return false;
        }
        return (requiresGoodFit && !this.isOverdue) || nowMs < worker.sameImagesOnlyUntilMs;
    }

    private canTake(worker: WorkerIncarnation): boolean {
        const { step, service, effects, nowMs, requiresGoodFit } = this.context;
        const { spec } = step;
        if (
            !worker.hasCapacityFor(step) ||
            !step.isPermittedOn(worker, nowMs) ||
            !isOpenToStep(worker, step, service, nowMs)
        ) {
            return false;
        }
        if (spec.filler) {
            return !requiresGoodFit || unusedProcessors(worker) >= minUnusedProcessors(spec);
        }
        return (
            !this.requiresCompatibleImages(worker) ||
            effects.compatibilityLoss(worker, spec.image) <= MaxCompatibilityLoss
        );
    }
}
