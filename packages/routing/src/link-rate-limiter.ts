import type { Clock } from "@samphireward/core/clock";

/** Burst that may be sent after an idle period, as transmission time at the full rate. */
const BurstMs = 250;

/**
 * Token bucket that counts and limits the bytes sent in one direction of a link between regions. The rate is this
 * process's part of the limit in the pools table. A large transfer may make the credit negative; later ones wait
 * until it has been refilled.
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

    /** `bitsPerSecond` is called for each use, because it changes with the tables and the number of processes. */
    static create(clock: Clock, bitsPerSecond: () => number): LinkRateLimiter {
        return new LinkRateLimiter(clock, () => bitsPerSecond() / 8 / 1000);
    }

    /** Total number of bytes counted so far. */
    get totalBytes(): number {
        return this.countedBytes;
    }

    get hasCapacity(): boolean {
        this.refill();
        return this.creditBytes > 0;
    }

    /** Counts bytes and returns how long to wait before transferring more, in milliseconds. */
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
