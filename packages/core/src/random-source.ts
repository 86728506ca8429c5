/** Source of random numbers, seeded in tests and benchmarks. */
export abstract class RandomSource {
    /** A number from 0 (inclusive) to 1 (exclusive). */
    abstract next(): number;

    /** An integer from 0 (inclusive) to `bound` (exclusive). */
    below(bound: number): number {
        return Math.floor(this.next() * bound);
    }
}
