import { Clock } from "./clock.js";

/** A clock for tests that moves only when told to. */
export class ManualClock extends Clock {
    private constructor(private currentMs: number) {
        super();
    }

    static create(startMs = 0): ManualClock {
        return new ManualClock(startMs);
    }

    override nowMs(): number {
        return this.currentMs;
    }

    override wallMs(): number {
        return this.currentMs;
    }

    advance(byMs: number): void {
        this.currentMs += byMs;
    }
}
