import type { Clock } from "@samphireward/core/clock";

/** Traffic that may be sent at once after a quiet time, as time at the full rate. */
const BurstMs = 250;

/**
 * Counts and bounds the bytes of one direction of a link between regions. The rate is this process's part of
 * what the pools table allows to all requests. Large transfers may run into debt, which later ones wait for.
 */
export class LinkRateLimiter {
    private creditBytes: number;
    private updatedAtMs: number;
    private countedBytes = 0;

    private constructor(
        private readonly clock: Clock,
        private readonly bytesPerMs: () => number,
    ) {
        this.updatedAtMs = clock.nowMs();
        this.creditBytes = bytesPerMs() * BurstMs;
    }

    /** `bitsPerSecond` is asked each time, because it changes with the tables and the number of processes. */
    static create(clock: Clock, bitsPerSecond: () => number): LinkRateLimiter {
        return new LinkRateLimiter(clock, () => bitsPerSecond() / 8 / 1000);
    }

    /** All bytes counted so far. */
    get totalBytes(): number {
        return this.countedBytes;
    }

    get hasCapacity(): boolean {
        this.refill();
        return this.creditBytes > 0;
    }

    /** Counts bytes and returns how long to wait before the next ones, in milliseconds. */
    consume(bytes: number): number {
        this.refill();
        this.countedBytes += bytes;
        this.creditBytes -= bytes;
        return this.creditBytes >= 0 ? 0 : Math.ceil(-this.creditBytes / this.bytesPerMs());
    }

    private refill(): void {
        const nowMs = this.clock.nowMs();
        const rate = this.bytesPerMs();
        this.creditBytes = Math.min(rate * BurstMs, this.creditBytes + (nowMs - this.updatedAtMs) * rate);
        this.updatedAtMs = nowMs;
    }
}
