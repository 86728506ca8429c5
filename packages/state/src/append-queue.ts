import { LogLimits } from "./log-limits.js";
import type { QueuedAppend } from "./queued-append.js";

/** Bounded first-in, first-out queue of appends. */
export class AppendQueue<T> {
    private queued: QueuedAppend<T>[] = [];
    private transitionCount = 0;
    private totalBytes = 0;

    private constructor() {}

    static create<T>(): AppendQueue<T> {
        return new AppendQueue();
    }

    /** Monotonic time at which the oldest append was queued; `undefined` when the queue is empty. */
    get oldestQueuedAtMs(): number | undefined {
        return this.queued[0]?.queuedAtMs;
    }

    /** Adds an append unless the queue is full. */
    tryPush(append: QueuedAppend<T>): boolean {
        const isFull =
            this.transitionCount + append.transitions.length > LogLimits.maxQueuedTransitions ||
            this.totalBytes + append.bytes > LogLimits.maxQueuedBytes;
        if (!isFull) {
            this.queued.push(append);
            this.updateTotals(append, 1);
        }
        return !isFull;
    }

    /** Returns appends to the front of the queue, in their order. */
    requeue(appends: readonly QueuedAppend<T>[]): void {
        this.queued = [...appends, ...this.queued];
        for (const append of appends) {
            this.updateTotals(append, 1);
        }
    }

    /** Removes and returns the appends that fit into one record; at least one unless the queue is empty. */
    takeBatch(): QueuedAppend<T>[] {
        let size = 0;
        let count = 0;
        for (const append of this.queued) {
            if (count > 0 && size + append.bytes > LogLimits.maxRecordBytes) {
                break;
            }
            size += append.bytes;
            count += 1;
        }
        return this.takeFirst(count);
    }

    takeAll(): QueuedAppend<T>[] {
        return this.takeFirst(this.queued.length);
    }

    /** Removes and returns the appends whose deadline has passed. */
    takeExpired(nowMs: number): QueuedAppend<T>[] {
        const expired = this.queued.filter(append => append.deadlineMs <= nowMs);
        if (expired.length > 0) {
            this.queued = this.queued.filter(append => append.deadlineMs > nowMs);
            expired.forEach(append => this.updateTotals(append, -1));
        }
        return expired;
    }

    private takeFirst(count: number): QueuedAppend<T>[] {
        const taken = this.queued.splice(0, count);
        taken.forEach(append => this.updateTotals(append, -1));
        return taken;
    }

    private updateTotals(append: QueuedAppend<T>, sign: 1 | -1): void {
        this.transitionCount += sign * append.transitions.length;
        this.totalBytes += sign * append.bytes;
    }
}
