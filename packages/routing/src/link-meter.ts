import type { Clock } from "@samphireward/core/clock";

/** Traffic that may be sent at once after a quiet time, as time at the full rate. */
const BurstMs = 250;

/**
 * Counts and bounds the bytes of one direction of a link between regions. The rate is this process's part of
 * what the pools table allows to all requests. Large transfers may run into debt, which later ones wait for.
 */
export class LinkMeter {
    private credit: number;
    private updatedMs: number;
    private bytes = 0;

    private constructor(
        private readonly clock: Clock,
        private readonly bytesPerMs: () => number,
    ) {
        this.updatedMs = clock.nowMs();
        this.credit = bytesPerMs() * BurstMs;
    }

    /** `bitsPerSecond` is asked each time, because it changes with the tables and the number of processes. */
    static create(clock: Clock, bitsPerSecond: () => number): LinkMeter {
        return new LinkMeter(clock, () => bitsPerSecond() / 8 / 1000);
    }

    /** All bytes counted so far. */
    get totalBytes(): number {
        return this.bytes;
    }

    get hasRoom(): boolean {
        this.refill();
        return this.credit > 0;
    }

    /** Counts bytes and returns how long to wait before the next ones, in milliseconds. */
    take(bytes: number): number {
        this.refill();
        this.bytes += bytes;
        this.credit -= bytes;
        return this.credit >= 0 ? 0 : Math.ceil(-this.credit / this.bytesPerMs());
    }

    private refill(): void {
        const nowMs = this.clock.nowMs();
        const rate = this.bytesPerMs();
        this.credit = Math.min(rate * BurstMs, this.credit + (nowMs - this.updatedMs) * rate);
        this.updatedMs = nowMs;
    }
}
