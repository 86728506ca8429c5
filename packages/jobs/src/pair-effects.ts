import type { PairSnapshot } from "./pair-snapshot.js";

/** Most pairs of images have almost no effect, a third have several times this one. */
const FirstEffect = 3;
const FirstVariance = 64;

/** Estimate for one pair of images. */
interface PairEstimate {
    effect: number;
    totalEffectVariance: number;
}

/**
 * Estimates of how much the fillers of each image take from the headroom of the serving tasks of each image, for
 * fillers that use all processors of a worker. Shares are parts of a worker's processors.
 */
export class PairEffects {
    private readonly estimates = new Map<string, Map<string, PairEstimate>>();

    private readonly fillers = new Set<string>();

    private constructor() {}

    static create(): PairEffects {
        return new PairEffects();
    }

    effect(serving: string, filler: string): number {
        return this.estimates.get(serving)?.get(filler)?.effect ?? FirstEffect;
    }

    /** Headroom that the fillers take together. */
    totalEffect(serving: string, shares: ReadonlyMap<string, number>): number {
        let sum = 0;
        for (const [filler, share] of shares) {
            sum += this.effect(serving, filler) * share;
        }
        return sum;
    }

    /** Variance of the sum. */
    variance(serving: string, shares: ReadonlyMap<string, number>): number {
        let sum = 0;
        for (const [filler, share] of shares) {
            sum += this.pair(serving, filler).totalEffectVariance * share ** 2;
        }
        return sum;
    }

    /** Distributes the difference between a reading of the sum and its expectation over the pairs. */
    correct(
        serving: string,
        shares: ReadonlyMap<string, number>,
        surprise: number,
        totalVariance: number,
    ): void {
        for (const [filler, share] of shares) {
            const pair = this.pair(serving, filler);
            const gain = (pair.totalEffectVariance * share) / totalVariance;
            pair.effect = Math.max(0, pair.effect + gain * surprise);
            pair.totalEffectVariance *= 1 - gain * share;
        }
    }

    /**
     * Part of the filler images, 0 to 1, that can work beside serving tasks of all the given images. An image
     * that takes much headroom from one of them counts little.
     */
    compatibleShare(servings: ReadonlySet<string>): number {
        if (servings.size === 0 || this.fillers.size === 0) {
            return 1;
        }
        let sum = 0;
        for (const filler of this.fillers) {
            let most = 0;
            for (const serving of servings) {
                most = Math.max(most, this.effect(serving, filler));
            }
            sum += 1 / (1 + most / FirstEffect);
        }
        return sum / this.fillers.size;
    }

    /** The estimates, rounded to what matters, to be stored. */
    snapshot(): PairSnapshot {
        const round = (value: number): number => Math.round(value * 100) / 100;
        return Object.fromEntries(
            [...this.estimates].map(([serving, pairs]) => [
                serving,
                [...pairs].map(
                    ([filler, pair]) =>
                        [filler, round(pair.effect), round(pair.totalEffectVariance)] as const,
                ),
            ]),
        );
    }

    /** Continues from stored estimates; those that are there already are replaced. */
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
            pair = { effect: FirstEffect, totalEffectVariance: FirstVariance };
            pairs.set(filler, pair);
        }
        return pair;
    }
}
