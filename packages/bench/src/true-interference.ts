import type { RandomSource } from "@samphireward/core/random-source";
import type { SimClass } from "./sim-class.js";

/** Ranges from which effects are drawn, with their probabilities: most are small, a few are large. */
const effectRanges = [
    { probability: 0.6, from: 0, to: 0.1 },
    { probability: 0.25, from: 0.1, to: 0.5 },
    { probability: 0.15, from: 0.5, to: 1.5 },
] as const;

/** Half-saturation constant: share of the processors at which an effect reaches half of its asymptote. */
const HalfSaturationShare = 0.4;

const drawEffect = (random: RandomSource): number => {
    let remaining = random.next();
    for (const { probability, from, to } of effectRanges) {
        if (remaining < probability) {
            return from + random.next() * (to - from);
        }
        remaining -= probability;
    }
    return 0;
};

/** Requests of the service affect each other only by the wait for a slot, which is modelled separately. */
const clearServiceSelfEffect = (effects: number[][]): void => {
    const service = effects[0];
    if (service !== undefined) {
        service[0] = 0;
    }
};

/** Effects saturate with the neighbour's share, and grow with the square of the load. */
const saturation = (share: number): number =>
    (share * (1 + HalfSaturationShare)) / (share + HalfSaturationShare);
const loadFactor = (load: number): number => 0.4 + 1.2 * Math.min(1, load) ** 2;

/**
 * The true slowdowns of pairs of classes, which only the oracle knows. Effects multiply, saturate and grow with the
 * load, so they do not have the form that the interference model assumes.
 */
export class TrueInterference {
    private constructor(
        private readonly classes: readonly SimClass[],
        private readonly effects: number[][],
    ) {}

    static create(classes: readonly SimClass[], random: RandomSource): TrueInterference {
        const effects = classes.map(() =>
            classes.map(other => drawEffect(random) * other.interferenceFactor),
        );
        clearServiceSelfEffect(effects);
        return new TrueInterference(classes, effects);
    }

    /** Replaces about half of the effects by newly drawn ones. */
    redrawEffects(random: RandomSource): void {
        for (const row of this.effects) {
            for (const [index, other] of this.classes.entries()) {
                const redrawn = drawEffect(random) * other.interferenceFactor;
                row[index] = random.next() < 0.5 ? redrawn : (row[index] ?? 0);
            }
        }
        clearServiceSelfEffect(this.effects);
    }

    /** Slowdown of a class, given the shares of the processors that each class uses, by class index. */
    slowdown(affected: number, shares: readonly number[], load: number): number {
        const row = this.effects[affected] ?? [];
        const factor = loadFactor(load);
        let slowdown = 1;
        for (let other = 0; other < row.length; other++) {
            const share = shares[other] ?? 0;
            if (share > 0) {
                slowdown *= 1 + (row[other] ?? 0) * saturation(share) * factor;
            }
        }
        return slowdown;
    }
}
