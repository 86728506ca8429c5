import { Clock } from "@samphireward/core/clock";

/** A clock that runs at another rate than the one it is made from, as clocks of two machines do. */
export class SkewedClock extends Clock {
    private constructor(
        private readonly base: Clock,
        private readonly rate: number,
    ) {
        super();
    }

    static create(base: Clock, rate: number): SkewedClock {
        return new SkewedClock(base, rate);
    }

    override nowMs(): number {
        return this.base.nowMs() * this.rate;
    }

    override wallMs(): number {
        return this.base.wallMs();
    }
}
