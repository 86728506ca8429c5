/** Counts events in a sliding window. */
export class SlidingWindowLimiter {
    private times: number[] = [];

    private constructor(
        private readonly limit: number,
        private readonly windowMs: number,
    ) {}

    static create(limit: number, windowMs: number): SlidingWindowLimiter {
        return new SlidingWindowLimiter(limit, windowMs);
    }

    /** Events that may still occur now. */
    remaining(nowMs: number): number {
        const first = this.times.findIndex(time => nowMs - time < this.windowMs);
        this.times = first === -1 ? [] : this.times.slice(first);
        return this.limit - this.times.length;
    }

    record(count: number, nowMs: number): void {
        for (let spent = 0; spent < count; spent++) {
            this.times.push(nowMs);
        }
    }
}
