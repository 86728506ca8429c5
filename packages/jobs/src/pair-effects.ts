import type { PairSnapshot } from "./pair-snapshot.js";

/** Initial estimate: most pairs of images have almost no effect, a third have several times this one. */
const InitialEffect = 3;
const InitialVariance = 64;

/**
 * Largest number of estimates. Jobs may name any number of images, and the estimates are stored in one value of the store,
 * which takes 1 MiB: this many with images that are named by a digest take about half of that.
 */
const MaxPairs = 4_000;
/** Number of estimates that are kept when there are more. */
const KeptPairs = 3_000;

/** Estimate for one pair of serving image and filler image. */
interface PairEstimate {
    readonly serving: string;
    readonly filler: string;
    effect: number;
    variance: number;
    /** Number of the last correction; the lower, the longer ago. */
    correction: number;
}

/**
 * Estimates of the headroom that the fillers of each image would take from the serving tasks of each image if they
 * used all processors of a worker. Shares are fractions of a worker's processors.
 */
export class PairEffects {
    private readonly estimates = new Map<string, Map<string, PairEstimate>>();

    private fillers = new Set<string>();
    private pairCount = 0;
    private corrections = 0;

    private constructor() {}

    static create(): PairEffects {
        return new PairEffects();
    }

    effect(serving: string, filler: string): number {
        return this.estimates.get(serving)?.get(filler)?.effect ?? InitialEffect;
    }

    /** Headroom that the fillers take in total. */
    totalEffect(serving: string, shares: ReadonlyMap<string, number>): number {
        let sum = 0;
        for (const [filler, share] of shares) {
            sum += this.effect(serving, filler) * share;
        }
        return sum;
    }

    /** Variance of the total effect. */
    totalEffectVariance(serving: string, shares: ReadonlyMap<string, number>): number {
        let sum = 0;
        for (const [filler, share] of shares) {
            sum += this.pair(serving, filler).variance * share ** 2;
        }
        return sum;
    }

    /** Kalman update: distributes `innovation`, a reading of the total effect less its estimate, over the pairs. */
    correct(
        serving: string,
        shares: ReadonlyMap<string, number>,
        innovation: number,
        totalVariance: number,
    ): void {
        for (const [filler, share] of shares) {
            const pair = this.pair(serving, filler);
            const gain = (pair.variance * share) / totalVariance;
            pair.effect = Math.max(0, pair.effect + gain * innovation);
            pair.variance *= 1 - gain * share;
            pair.correction = ++this.corrections;
        }
        if (this.pairCount > MaxPairs) {
            this.forgetOldest();
        }
    }

    /**
     * Share of filler images, 0 to 1, that can work beside serving tasks of all given images. A filler image counts
     * the less, the more headroom it takes from any of them.
     */
    compatibleShare(servings: ReadonlySet<string>): number {
        if (servings.size === 0 || this.fillers.size === 0) {
            return 1;
        }
        let sum = 0;
        for (const filler of this.fillers) {
            let strongest = 0;
            for (const serving of servings) {
                strongest = Math.max(strongest, this.effect(serving, filler));
            }
            sum += 1 / (1 + strongest / InitialEffect);
        }
        return sum / this.fillers.size;
    }

    /** Returns the estimates in stored form, rounded to two decimals. */
    snapshot(): PairSnapshot {
        const round = (value: number): number => Math.round(value * 100) / 100;
        return Object.fromEntries(
            [...this.estimates].map(([serving, pairs]) => [
                serving,
                [...pairs].map(
                    ([filler, pair]) => [filler, round(pair.effect), round(pair.variance)] as const,
                ),
            ]),
        );
    }

    /** Restores stored estimates, replacing existing ones for the same pairs. */
    restore(snapshot: PairSnapshot): void {
        for (const [serving, pairs] of Object.entries(snapshot)) {
            for (const [filler, effect, variance] of pairs) {
                Object.assign(this.pair(serving, filler), { effect, variance });
            }
        }
        if (this.pairCount > MaxPairs) {
            this.forgetOldest();
        }
    }

    private pair(serving: string, filler: string): PairEstimate {
        let pairs = this.estimates.get(serving);
        if (pairs === undefined) {
            pairs = new Map();
            this.estimates.set(serving, pairs);
        }
        let pair = pairs.get(filler);
        if (pair === undefined) {
            this.fillers.add(filler);
            pair = { serving, filler, effect: InitialEffect, variance: InitialVariance, correction: 0 };
            pairs.set(filler, pair);
            this.pairCount++;
        }
        return pair;
    }

    /** Forgets the estimates that were corrected longest ago. */
    private forgetOldest(): void {
        const all = [...this.estimates.values()].flatMap(pairs => [...pairs.values()]);
        const kept = all.sort((a, b) => b.correction - a.correction).slice(0, KeptPairs);
        this.estimates.clear();
        for (const pair of kept) {
            const pairs = this.estimates.get(pair.serving) ?? new Map<string, PairEstimate>();
            this.estimates.set(pair.serving, pairs.set(pair.filler, pair));
        }
        this.fillers = new Set(kept.map(({ filler }) => filler));
        this.pairCount = kept.length;
    }
}
