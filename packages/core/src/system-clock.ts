import { Clock } from "./clock.js";

/** Clock that reads `performance.now` and `Date.now`. */
export class SystemClock extends Clock {
    static create(): SystemClock {
        return new SystemClock();
    }

    override nowMs(): number {
        return performance.now();
    }

    override wallMs(): number {
        return Date.now();
    }
}
