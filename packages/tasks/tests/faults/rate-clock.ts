import { Clock } from "@samphireward/core/clock";

/** A clock that runs at another rate than the one it is made from, as clocks of two machines do. */
export class RateClock extends Clock {
    private constructor(
        private readonly base: Clock,
        private readonly rate: number,
    ) {
        super();
    }

    static create(base: Clock, rate: number): RateClock {
        return new RateClock(base, rate);
    }

    override nowMs(): number {
        return this.base.nowMs() * this.rate;
    }

    override wallMs(): number {
        return this.base.wallMs();
    }
}
