import { RandomSource } from "./random-source.js";

/** Random numbers from `Math.random`. */
export class SystemRandom extends RandomSource {
    static create(): SystemRandom {
        return new SystemRandom();
    }

    override next(): number {
        return Math.random();
    }
}
