import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { RandomSource } from "./random-source.js";

/** Reproducible random numbers (xoroshiro128+) from a seed. */
export class SeededRandom extends RandomSource {
    private constructor(private readonly generator: ReturnType<typeof xoroshiro128plus>) {
        super();
    }

    static create(seed: number): SeededRandom {
        return new SeededRandom(xoroshiro128plus(seed));
    }

    override next(): number {
        return uniformFloat64(this.generator);
    }
}
