import type { RandomSource } from "@samphireward/core/random-source";
import type { CrashDay } from "./crash-day.js";
import type { CrashModelWorker } from "./crash-model-worker.js";

const MinCutMs = 5_000;
const MaxCutMs = 9_000;

/** Draws the workers that crash or are cut off on a day for causes other than their tasks. */
export class CrashModelFaults {
    /** Workers that crash behind a cut, with the time at which they do and the time at which the cut ends. */
    private hiddenCrashes: { worker: CrashModelWorker; atMs: number; cutUntilMs: number }[] = [];

    private constructor(
        private readonly day: CrashDay,
        private readonly random: RandomSource,
    ) {}

    static create(day: CrashDay, random: RandomSource): CrashModelFaults {
        return new CrashModelFaults(day, random);
    }

    /** The workers that crash at a time of the day. */
    crashesAt(at: number, workers: readonly CrashModelWorker[]): readonly CrashModelWorker[] {
        const { losses } = this.day;
        if (losses === undefined || !this.isDue(at, losses.everyMs)) {
            return [];
        }
        const { share, byRack = false } = losses;
        if (!byRack) {
            return this.draw(workers, share).filter(worker => worker.isUp);
        }
        const racks = [...new Set(workers.map(({ entry }) => entry.rack))];
        const count = Math.max(1, Math.round(racks.length * share));
        const lost = this.draw(racks, count / racks.length);
        return workers.filter(worker => worker.isUp && lost.includes(worker.entry.rack));
    }

    /** Cuts workers off at a time of the day. */
    cutAt(at: number, nowMs: number, workers: readonly CrashModelWorker[]): void {
        const { cuts } = this.day;
        if (cuts === undefined || !this.isDue(at, cuts.everyMs)) {
            return;
        }
        for (const worker of this.draw(workers, cuts.share)) {
            if (!worker.answers(nowMs)) {
                continue;
            }
            const durationMs = MinCutMs + this.random.next() * (MaxCutMs - MinCutMs);
            worker.cutUntilMs = nowMs + durationMs;
            if (this.random.next() < cuts.crashShare) {
                const atMs = nowMs + durationMs * this.random.next();
                this.hiddenCrashes.push({ worker, atMs, cutUntilMs: worker.cutUntilMs });
            }
        }
    }

    /** Takes the workers that have crashed behind a cut by now, with the time for which each is down. */
    takeHiddenCrashes(nowMs: number): readonly { worker: CrashModelWorker; downMs: number }[] {
        const due = this.hiddenCrashes.filter(({ atMs }) => atMs <= nowMs);
        this.hiddenCrashes = this.hiddenCrashes.filter(({ atMs }) => atMs > nowMs);
        return due
            .filter(({ worker }) => worker.isUp)
            .map(({ worker, cutUntilMs }) => ({ worker, downMs: cutUntilMs - nowMs }));
    }

    private isDue(at: number, everyMs: number): boolean {
        const { faultsEndMs = Infinity } = this.day;
        return at > 0 && at < faultsEndMs && at % everyMs === 0;
    }

    private draw<T>(items: readonly T[], share: number): readonly T[] {
        const order = items.map(item => ({ item, rank: this.random.next() }));
        order.sort((a, b) => a.rank - b.rank);
        return order.slice(0, Math.round(items.length * share)).map(({ item }) => item);
    }
}
