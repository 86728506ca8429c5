/**
 * A time-out that doubles with each call that got no response in time, up to a maximum, and returns to its minimum with
 * the next response. On a congested link, attempts with a fixed time-out would all be abandoned before they end.
 */
export class AdaptiveTimeout {
    private currentMs: number;

    private constructor(
        private readonly minMs: number,
        private readonly maxMs: number,
    ) {
        this.currentMs = minMs;
    }

    static create(minMs: number, maxMs: number): AdaptiveTimeout {
        return new AdaptiveTimeout(minMs, maxMs);
    }

    /** Time-out of the next call, in milliseconds. */
    get ms(): number {
        return this.currentMs;
    }

    noteResponse(): void {
        this.currentMs = this.minMs;
    }

    noteTimeout(): void {
        this.currentMs = Math.min(this.maxMs, this.currentMs * 2);
    }
}
