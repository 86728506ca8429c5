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
    isCalm = true;
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

    /** Losses of a worker per millisecond: those of all workers, or of this one if it is lost more often. */
    perMs(address?: string): number {
        const knownMs = this.nowMs - (this.sinceMs ?? this.nowMs);
        const periodMs = Math.min(PeriodMs, Math.max(LearningMs, knownMs));
        const ofWorker = this.unrelated.filter(({ worker }) => worker.entry.address === address).length;
        // One more is assumed, as few losses say little about their rate.
        const ofCell = (this.unrelated.length + 1) / Math.max(1, this.fleet.size);
        const perMs = Math.max(ofCell, ofWorker) / periodMs;
        return knownMs < LearningMs ? Math.max(perMs, UnknownRatePerMs) : perMs;
    }

    private findCalm(losses: readonly WorkerLoss[]): boolean {
        const lost = losses.filter(loss => this.nowMs - loss.lostAtMs < CalmMs).length;
        const silent = [...this.fleet.workers].filter(
            worker => !worker.isReachable && !worker.isLost && worker.hasListedRuns,
        ).length;
        return lost + silent <= this.fleet.size * MaxCalmShare;
    }
}
