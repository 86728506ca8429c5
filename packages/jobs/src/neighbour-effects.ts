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

/** Headroom of a serving step before its first reading. */
const FirstHeadroom = 2.5;
const FirstVariance = 1;
/** A serving task's tail is not representative this soon after its start. */
const WarmUpMs = 1_500;
/** A listed tail covers the last half second: it tells of the middle of that time. */
const ReadingAgeMs = 300;
/** Listed tails are whole milliseconds. */
const RoundingMs = 0.3;
/** Standard deviation of a reading of the headroom, rounding apart. */
const ReadingDeviation = 0.25;
/** Standard deviation of a reading for what fillers take, as a part of that. */
const TakenDeviation = 0.3;
/** Readings below this tell only that the worker is overloaded. */
const LeastReading = 0.25;
/** A reading that is further off than this many standard deviations counts as this far off. */
const MaxDeviations = 3;
/** Headroom that fillers leave to a serving task, on average over their time. */
const LeftOnAverage = 1.35;
/** A filler that takes no more headroom than this is added whatever else disturbs the worker. */
const HarmlessTake = 0.06;
/** Time ahead for which fillers are placed. */
const PlaceAheadMs = 800;
/** Highest ratio of tail to target that is expected: beyond it the queue is lost anyway. */
const MaxRatio = 4;
/** Weight of a step's mean headroom in that of its image. */
const ImageWeight = 0.02;

const isServing = (run: Run): boolean =>
    run.task.step.spec.tailTargetMs > 0 && run.phase === RunPhase.Running;

/**
 * Learns from listed tails how much the fillers of each image disturb the serving tasks of each image.
 *
 * Headroom is the ratio of a task's target to its tail. Tails grow as 1 / (1 - utilization), so that the headroom
 * falls in proportion to the load and to the processors that fillers use. The load is common to all tasks of a step.
 */
export class NeighbourEffects {
    private readonly pairs = PairEffects.create();
    private readonly forecasts = new WeakMap<Step, HeadroomForecast>();
    /** Mean headroom by serving image, where a step's own is not known. */
    private readonly headrooms = new Map<string, number>();
    /** Shares by worker, kept while the worker's version stays. */
    private readonly allowed = new WeakMap<
        WorkerIncarnation,
        { readonly version: number; readonly shares: Map<string, number> }
    >();

    private constructor() {}

    static create(): NeighbourEffects {
        return new NeighbourEffects();
    }

    /** What was learned, for the next owner. */
    snapshot(): EffectsSnapshot {
        const round = (value: number): number => Math.round(value * 100) / 100;
        const headrooms = Object.fromEntries(
            [...this.headrooms].map(([image, headroom]) => [image, round(headroom)]),
        );
        return { headrooms, pairs: this.pairs.snapshot() };
    }

    restore(snapshot: EffectsSnapshot): void {
        Object.entries(snapshot.headrooms).forEach(([image, value]) => this.headrooms.set(image, value));
        this.pairs.restore(snapshot.pairs);
    }

    /** Takes the tails and the use of processors that a worker has just listed. */
    learn(life: WorkerIncarnation, nowMs: number): void {
        const shares = usedFillerShares(life);
        for (const run of life.runs.values()) {
            if (isServing(run) && nowMs - run.confirmedAtMs > WarmUpMs && run.gauge > 0) {
                this.learnTail(run, shares, nowMs);
            }
        }
    }

    /** Headroom that fillers of an image which use all processors of a worker take from serving tasks. */
    effect(serving: string, filler: string): number {
        return this.pairs.effect(serving, filler);
    }

    /** The least headroom of a run at a time, some deviations below what is expected, fillers apart. */
    headroomLowerBound(run: Run, atMs: number, deviations: number): number {
        const forecast = this.forecasts.get(run.task.step);
        if (forecast === undefined) {
            return this.imageHeadroom(run.task.step.spec.image);
        }
        return forecast.valueAt(atMs) - deviations * forecast.deviationAt(atMs);
    }

    /**
     * Share of its speed, 0 to 1, at which a filler step's task can work on a worker while every serving task
     * there keeps enough headroom.
     */
    allowedSpeed(life: WorkerIncarnation, added: StepSpec, nowMs: number): number {
        let known = this.allowed.get(life);
        if (known?.version !== life.version) {
            known = { version: life.version, shares: new Map() };
            this.allowed.set(life, known);
        }
        const key = `${added.image}/${added.resources.processors}`;
        let share = known.shares.get(key);
        if (share === undefined) {
            share = this.computeShare(life, added, nowMs);
            known.shares.set(key, share);
        }
        return share;
    }

    /** Expected ratio of tail to target of a serving step's task beside the fillers of a worker. */
    expectedTailRatio(life: WorkerIncarnation, added: StepSpec): number {
        const left =
            this.imageHeadroom(added.image) -
            this.pairs.totalEffect(added.image, requestedFillerShares(life));
        return 1 / Math.max(left, 1 / MaxRatio);
    }

    /** Part of the filler images, 0 to 1, that a worker loses when serving tasks of an image join those there. */
    compatibilityLoss(life: WorkerIncarnation, image: string): number {
        const images = servingImages(life);
        if (images.size === 0 || images.has(image)) {
            return 0;
        }
        return this.pairs.compatibleShare(images) - this.pairs.compatibleShare(images.add(image));
    }

    /** Part of the filler images, 0 to 1, that a worker gains when a serving task leaves it. */
    compatibilityGainWithout(run: Run): number {
        const images = servingImages(run.worker);
        const others = servingImages(run.worker, run);
        return others.size === images.size || others.size === 0
            ? 0
            : this.pairs.compatibleShare(others) - this.pairs.compatibleShare(images);
    }

    private computeShare(life: WorkerIncarnation, added: StepSpec, nowMs: number): number {
        const shares = requestedFillerShares(life);
        const addedShare = added.resources.processors / life.entry.capacity.processors;
        let allowed = 1;
        for (const run of life.runs.values()) {
            const { image, tailTargetMs } = run.task.step.spec;
            if (tailTargetMs > 0) {
                const take = this.pairs.effect(image, added.image) * addedShare;
                const left =
                    this.averageHeadroom(run, nowMs) - LeftOnAverage - this.pairs.totalEffect(image, shares);
                allowed = Math.min(allowed, take <= HarmlessTake ? 1 : Math.max(0, left) / take);
            }
        }
        return allowed;
    }

    /** Headroom of a run over the time of a filler that starts now, fillers apart. */
    private averageHeadroom(run: Run, nowMs: number): number {
        const forecast = this.forecasts.get(run.task.step);
        return forecast === undefined
            ? this.imageHeadroom(run.task.step.spec.image)
            : (forecast.valueAt(nowMs + PlaceAheadMs) + forecast.mean) / 2;
    }

    private learnTail(run: Run, shares: ReadonlyMap<string, number>, nowMs: number): void {
        const { image, tailTargetMs } = run.task.step.spec;
        const forecast = this.forecastOf(run, nowMs);
        const readMs = nowMs - ReadingAgeMs;
        const elapsedMs = Math.max(0, readMs - forecast.lastReadingAtMs);
        forecast.advance(readMs);
        const headroom = tailTargetMs / run.gauge;
        const taken = this.pairs.totalEffect(image, shares);
        const expected = forecast.current - taken;
        if (headroom < LeastReading && expected < LeastReading) {
            return;
        }
        const noise =
            ReadingDeviation ** 2 +
            ((headroom * RoundingMs) / run.gauge) ** 2 +
            (TakenDeviation * taken) ** 2;
        const total = forecast.variance + this.pairs.variance(image, shares) + noise;
        const limit = MaxDeviations * Math.sqrt(total);
        const surprise = Math.max(-limit, Math.min(limit, headroom - expected));
        this.pairs.correct(image, shares, -surprise, total);
        forecast.correct(surprise, total, elapsedMs);
        const known = this.headrooms.get(image) ?? forecast.mean;
        this.headrooms.set(image, known + (forecast.mean - known) * ImageWeight);
    }

    private forecastOf(run: Run, nowMs: number): HeadroomForecast {
        const { step } = run.task;
        let forecast = this.forecasts.get(step);
        if (forecast === undefined) {
            forecast = HeadroomForecast.create(
                this.imageHeadroom(step.spec.image),
                FirstVariance,
                nowMs - ReadingAgeMs,
            );
            this.forecasts.set(step, forecast);
        }
        return forecast;
    }

    private imageHeadroom(image: string): number {
        return this.headrooms.get(image) ?? FirstHeadroom;
    }
}
