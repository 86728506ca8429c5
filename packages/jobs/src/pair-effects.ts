import type { PairSnapshot } from "./pair-snapshot.js";

/** Initial estimate: most pairs of images have almost no effect, a third have several times this one. */
const InitialEffect = 3;
const InitialVariance = 64;

/** Estimate for one pair of serving image and filler image. */
interface PairEstimate {
    effect: number;
    variance: number;
}

/**
 * Estimates of the headroom that the fillers of each image would take from the serving tasks of each image if they
 * used all processors of a worker. Shares are fractions of a worker's processors.
 */
export class PairEffects {
    private readonly estimates = new Map<string, Map<string, PairEstimate>>();

    private readonly fillers = new Set<string>();

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
            pair = { effect: InitialEffect, variance: InitialVariance };
            pairs.set(filler, pair);
        }
        return pair;
    }
}
