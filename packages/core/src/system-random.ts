import { RandomSource } from "./random-source.js";

/** The runtime's own random numbers. */
export class SystemRandom extends RandomSource {
    static create(): SystemRandom {
        return new SystemRandom();
    }

    override next(): number {
        return Math.random();
    }
}
