import { Clock } from "./clock.js";

/** The process's own clocks. */
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
