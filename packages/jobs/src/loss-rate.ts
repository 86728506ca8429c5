import { isNearLimit } from "./is-near-limit.js";
import { silentWorkers } from "./silent-workers.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerLoss } from "./worker-loss.js";

/** Time over which the rate is taken. */
const PeriodMs = 60_000;
/** Time after which an owner knows how often the workers of its cell are lost. */
const LearningMs = 20_000;
/** Rate that is assumed before that: one loss of each worker in 20 s. */
const UnknownRatePerMs = 1 / 20_000;
/** The cell counts as calm if it has lost few workers in this time, longer than a lost task takes to start again. */
const CalmMs = 8_000;
/** Share of the workers that a calm cell may lose in that time. */
const MaxCalmShare = 0.03;

/** How often the workers of a cell are lost without a task on trial. */
export class LossRate {
    /** Whether few workers have been lost lately, or do not answer. */
    isCalm = false;
    private unrelated: readonly WorkerLoss[] = [];
    private nowMs = 0;
    private sinceMs: number | undefined;

    private constructor(private readonly fleet: WorkerFleet) {}

    static create(fleet: WorkerFleet): LossRate {
        return new LossRate(fleet);
    }

    /** Sets the losses of the last minute. */
    update(losses: readonly WorkerLoss[], nowMs: number): void {
        this.unrelated = losses.filter(loss => loss.isUnrelated);
        this.nowMs = nowMs;
        this.sinceMs ??= nowMs;
        this.isCalm = this.findCalm(losses);
    }

    /** Losses of a worker per millisecond. */
    get perMs(): number {
        const knownMs = this.knownMs;
        const periodMs = Math.min(PeriodMs, Math.max(LearningMs, knownMs));
        const perMs = this.ratePerMs(this.unrelated.length, periodMs);
        return knownMs < LearningMs ? Math.max(perMs, UnknownRatePerMs) : perMs;
    }

    /** The same at the time of a loss, which may be one of few after many, and for its worker, which may be lost often. */
    perMsAt({ lostAtMs, worker }: WorkerLoss): number {
        const near = this.unrelated.filter(loss => Math.abs(loss.lostAtMs - lostAtMs) < CalmMs);
        const others = near.filter(loss => loss.worker !== worker).length;
        const wasCalm = this.knownMs - (this.nowMs - lostAtMs) >= CalmMs && others <= this.maxCalmLosses;
        const ofCell = wasCalm ? Math.min(this.perMs, this.ratePerMs(others, CalmMs)) : this.perMs;
        const { address } = worker.entry;
        const ofWorker = this.unrelated.filter(loss => loss.worker.entry.address === address).length;
        return Math.max(ofCell, ofWorker / PeriodMs);
    }

    /** A single loss says little of a small cell. */
    private get maxCalmLosses(): number {
        return Math.max(1, this.fleet.size * MaxCalmShare);
    }

    private get knownMs(): number {
        return this.nowMs - (this.sinceMs ?? this.nowMs);
    }

    /** One more loss is assumed, as few say little about their rate. */
    private ratePerMs(count: number, periodMs: number): number {
        return (count + 1) / (Math.max(1, this.fleet.size) * periodMs);
    }

    /** Losses that a task close to its limit explains don't count, so that such tasks don't wait for each other. */
    private findCalm(losses: readonly WorkerLoss[]): boolean {
        const lost = losses.filter(
            loss => this.nowMs - loss.lostAtMs < CalmMs && !(loss.hasTrial && loss.blamed.some(isNearLimit)),
        );
        const silent = silentWorkers(this.fleet).filter(
            ({ trialTask }) => trialTask === undefined || !isNearLimit(trialTask),
        );
        const isKnown = this.knownMs >= CalmMs;
        return isKnown && lost.length + silent.length <= this.maxCalmLosses;
    }
}
