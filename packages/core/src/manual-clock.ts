import { Clock } from "./clock.js";

/** Clock for tests that moves only when `advance` is called. */
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
