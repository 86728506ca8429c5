import type { EffectsSnapshot } from "./effects-snapshot.js";
import { HeadroomForecast } from "./headroom-forecast.js";
import { usedFillerShares } from "./used-filler-shares.js";
import { PairEffects } from "./pair-effects.js";
import { requestedFillerShares } from "./requested-filler-shares.js";
import type { Run } from "./run.js";
import { RunPhase } from "./run-phase.js";
import { servingImages } from "./serving-images.js";
import type { Step } from "./step.js";
import type { StepSpec } from "./step-spec.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Headroom that is assumed for a serving step before its first reading. */
const InitialHeadroom = 2.5;
const InitialHeadroomVariance = 1;
/** A serving task's tail latency is not representative until this long after its start. */
const WarmUpMs = 1_500;
/** Mean age of a listed tail latency, which covers the last half second. */
const ReadingAgeMs = 300;
/** Standard deviation of the rounding error: listed tail latencies are whole milliseconds. */
const RoundingDeviationMs = 0.3;
/** Standard deviation of a headroom reading, without the rounding error. */
const ReadingDeviation = 0.25;
/** Standard deviation of the headroom taken by fillers, relative to that headroom. */
const TakenDeviationRatio = 0.3;
/** Headroom readings below this show only that the worker is overloaded. */
const MinInformativeHeadroom = 0.25;
/** Innovations are clipped to this many standard deviations. */
const MaxDeviations = 3;
/** Headroom that a serving task keeps on average over the run time of the fillers beside it. */
const ReservedAverageHeadroom = 1.35;
/** A filler that takes no more headroom than this is admitted regardless of other fillers. */
const NegligibleTake = 0.06;
/** Fillers are placed by the headroom forecast for this far ahead. */
const PlacementHorizonMs = 800;
/** Upper bound of the expected ratio of tail latency to target; beyond it the task is overloaded anyway. */
const MaxTailRatio = 4;
/** Largest number of serving images whose mean headroom is kept, for the size of the stored value. */
const MaxImages = 1_000;
/** Weight of a step's mean headroom in the moving average of its image. */
const ImageMeanWeight = 0.02;

/** Headroom that further fillers may take on a worker, valid while the worker's version is unchanged. */
interface Allowance {
    readonly version: number;
    readonly headrooms: ReadonlyMap<string, number>;
}

const isServing = (run: Run): boolean =>
    run.task.step.spec.tailTargetMs > 0 && run.phase === RunPhase.Running;

/**
 * Learns from listed tail latencies how much the fillers of each image disturb the serving tasks of each image.
 *
 * Headroom is the ratio of a task's target to its tail latency. Tail latency grows as 1 / (1 - utilization), so
 * headroom falls linearly with the load and with the processors that fillers use. All tasks of a step share one load.
 */
export class NeighbourEffects {
    private readonly pairs = PairEffects.create();
    private readonly forecasts = new WeakMap<Step, HeadroomForecast>();
    /** Mean headroom by serving image, for steps without a forecast of their own. */
    private readonly headrooms = new Map<string, number>();
    private readonly allowances = new WeakMap<WorkerIncarnation, Allowance>();
    private isReadOnly = false;

    private constructor() {}

    static create(): NeighbourEffects {
        return new NeighbourEffects();
    }

    /** Returns the estimates in stored form, for the next owner. */
    snapshot(): EffectsSnapshot {
        const round = (value: number): number => Math.round(value * 100) / 100;
        const headrooms = Object.fromEntries(
            [...this.headrooms].map(([image, headroom]) => [image, round(headroom)]),
        );
        return { headrooms, pairs: this.pairs.snapshot() };
    }

    restore(snapshot: EffectsSnapshot): void {
        Object.entries(snapshot.headrooms).forEach(([image, value]) => this.setHeadroom(image, value));
        this.pairs.restore(snapshot.pairs);
    }

    /** Updates the estimates by the tail latencies and the processor use that a worker has just listed. */
    learn(worker: WorkerIncarnation, nowMs: number): void {
        const shares = usedFillerShares(worker);
        for (const run of worker.runs.values()) {
            if (isServing(run) && nowMs - run.confirmedAtMs > WarmUpMs && run.gauge > 0) {
                this.learnTail(run, shares, nowMs);
            }
        }
    }

    /** Headroom that fillers of one image would take from serving tasks if they used all processors of the worker. */
    effect(serving: string, filler: string): number {
        return this.pairs.effect(serving, filler);
    }

    /** Headroom of a run without fillers at `atMs`: the forecast less that many standard deviations. */
    headroomLowerBound(run: Run, atMs: number, deviations: number): number {
        const forecast = this.forecasts.get(run.task.step);
        if (forecast === undefined) {
            return this.imageHeadroom(run.task.step.spec.image);
        }
        return forecast.valueAt(atMs) - deviations * forecast.deviationAt(atMs);
    }

    /**
     * Share of its full speed, 0 to 1, at which a task of a filler step can work on a worker while every serving task
     * there keeps enough headroom.
     */
    allowedSpeed(worker: WorkerIncarnation, added: StepSpec, nowMs: number): number {
        const addedShare = added.resources.processors / worker.entry.capacity.processors;
        let allowed = 1;
        for (const [image, headroom] of this.allowanceOf(worker, nowMs).headrooms) {
            const take = this.pairs.effect(image, added.image) * addedShare;
            allowed = Math.min(allowed, take <= NegligibleTake ? 1 : Math.max(0, headroom) / take);
        }
        return allowed;
    }

    /** Expected ratio of tail latency to target for a serving task beside the fillers of a worker. */
    expectedTailRatio(worker: WorkerIncarnation, added: StepSpec): number {
        const remaining =
            this.imageHeadroom(added.image) -
            this.pairs.totalEffect(added.image, requestedFillerShares(worker));
        return 1 / Math.max(remaining, 1 / MaxTailRatio);
    }

    /** Share of filler images, 0 to 1, that a serving image would rule out on a worker in addition to the others. */
    compatibilityLoss(worker: WorkerIncarnation, image: string): number {
        const images = servingImages(worker);
        if (images.size === 0 || images.has(image)) {
            return 0;
        }
        return this.pairs.compatibleShare(images) - this.pairs.compatibleShare(images.add(image));
    }

    /** Share of filler images, 0 to 1, that a worker would admit in addition if a serving task left it. */
    compatibilityGainWithout(run: Run): number {
        const images = servingImages(run.worker);
        const others = servingImages(run.worker, run);
        return others.size === images.size || others.size === 0
            ? 0
            : this.pairs.compatibleShare(others) - this.pairs.compatibleShare(images);
    }

    /** Reads without caching: a value that was cached between two plans would replace that of the next plan. */
    readOnly<T>(read: () => T): T {
        this.isReadOnly = true;
        try {
            return read();
        } finally {
            this.isReadOnly = false;
        }
    }

    private allowanceOf(worker: WorkerIncarnation, nowMs: number): Allowance {
        const cached = this.allowances.get(worker);
        if (cached?.version === worker.version) {
            return cached;
        }
        const allowance = { version: worker.version, headrooms: this.unusedHeadrooms(worker, nowMs) };
        if (!this.isReadOnly) {
            this.allowances.set(worker, allowance);
        }
        return allowance;
    }

    /** Headroom that the fillers of a worker leave, by serving image: that of the image's run with the least. */
    private unusedHeadrooms(worker: WorkerIncarnation, nowMs: number): Map<string, number> {
        const shares = requestedFillerShares(worker);
        const headrooms = new Map<string, number>();
        for (const run of worker.runs.values()) {
            const { image, tailTargetMs } = run.task.step.spec;
            if (tailTargetMs > 0) {
                const headroom =
                    this.averageHeadroom(run, nowMs) -
                    ReservedAverageHeadroom -
                    this.pairs.totalEffect(image, shares);
                headrooms.set(image, Math.min(headroom, headrooms.get(image) ?? Infinity));
            }
        }
        return headrooms;
    }

    /** Expected headroom of a run, without fillers, over the run time of a filler that starts now. */
    private averageHeadroom(run: Run, nowMs: number): number {
        const forecast = this.forecasts.get(run.task.step);
        return forecast === undefined
            ? this.imageHeadroom(run.task.step.spec.image)
            : (forecast.valueAt(nowMs + PlacementHorizonMs) + forecast.mean) / 2;
    }

    private learnTail(run: Run, shares: ReadonlyMap<string, number>, nowMs: number): void {
        const { image, tailTargetMs } = run.task.step.spec;
        const forecast = this.forecastOf(run, nowMs);
        const readingAtMs = nowMs - ReadingAgeMs;
        const elapsedMs = Math.max(0, readingAtMs - forecast.lastReadingAtMs);
        forecast.advance(readingAtMs);
        const headroom = tailTargetMs / run.gauge;
        const taken = this.pairs.totalEffect(image, shares);
        const expected = forecast.current - taken;
        if (headroom < MinInformativeHeadroom && expected < MinInformativeHeadroom) {
            return;
        }
        const noise =
            ReadingDeviation ** 2 +
            ((headroom * RoundingDeviationMs) / run.gauge) ** 2 +
            (TakenDeviationRatio * taken) ** 2;
        const totalVariance = forecast.variance + this.pairs.totalEffectVariance(image, shares) + noise;
        const limit = MaxDeviations * Math.sqrt(totalVariance);
        const innovation = Math.max(-limit, Math.min(limit, headroom - expected));
        this.pairs.correct(image, shares, -innovation, totalVariance);
        forecast.correct(innovation, totalVariance, elapsedMs);
        const previousMean = this.headrooms.get(image) ?? forecast.mean;
        this.setHeadroom(image, previousMean + (forecast.mean - previousMean) * ImageMeanWeight);
    }

    /** Keeps the images that were set last. */
    private setHeadroom(image: string, headroom: number): void {
        this.headrooms.delete(image);
        this.headrooms.set(image, headroom);
        const [oldest] = this.headrooms.size > MaxImages ? this.headrooms.keys() : [];
        if (oldest !== undefined) {
            this.headrooms.delete(oldest);
        }
    }

    private forecastOf(run: Run, nowMs: number): HeadroomForecast {
        const { step } = run.task;
        let forecast = this.forecasts.get(step);
        if (forecast === undefined) {
            forecast = HeadroomForecast.create(
                this.imageHeadroom(step.spec.image),
                InitialHeadroomVariance,
                nowMs - ReadingAgeMs,
            );
            this.forecasts.set(step, forecast);
        }
        return forecast;
    }

    private imageHeadroom(image: string): number {
        return this.headrooms.get(image) ?? InitialHeadroom;
    }
}
