/** Limits the number of events in a sliding time window. */
export class SlidingWindowLimiter {
    private eventTimesMs: number[] = [];

    private constructor(
        private readonly limit: number,
        private readonly windowMs: number,
    ) {}

    static create(limit: number, windowMs: number): SlidingWindowLimiter {
        return new SlidingWindowLimiter(limit, windowMs);
    }

    /** Number of events that the limit still allows now. */
    remaining(nowMs: number): number {
        const first = this.eventTimesMs.findIndex(eventMs => nowMs - eventMs < this.windowMs);
        this.eventTimesMs = first === -1 ? [] : this.eventTimesMs.slice(first);
        return this.limit - this.eventTimesMs.length;
    }

    record(count: number, nowMs: number): void {
        for (let recorded = 0; recorded < count; recorded++) {
            this.eventTimesMs.push(nowMs);
        }
    }
}
