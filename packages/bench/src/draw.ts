import type { RandomSource } from "@samphireward/core/random-source";

/** Samples of the probability distributions that the benchmark uses. */
export const draw = {
    normal: (random: RandomSource): number =>
        Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next()),

    /** Lognormal with mean 1. */
    logNormal: (random: RandomSource, sigma: number): number =>
        Math.exp(sigma * draw.normal(random) - (sigma * sigma) / 2),

    exponential: (random: RandomSource): number => -Math.log(1 - random.next()),

    /** A factor between 1/`limit` and `limit`, uniform in its logarithm. */
    logUniformFactor: (random: RandomSource, limit: number): number => limit ** (2 * random.next() - 1),

    poisson: (random: RandomSource, mean: number): number => {
        let count = 0;
        for (let sum = draw.exponential(random); sum < mean; sum += draw.exponential(random)) {
            count++;
        }
        return count;
    },
};
