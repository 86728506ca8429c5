import { LogLimits } from "./log-limits.js";
import type { QueuedAppend } from "./queued-append.js";

/** Bounded first-in, first-out queue of appends. */
export class AppendQueue<T> {
    private waiting: QueuedAppend<T>[] = [];
    private transitions = 0;
    private bytes = 0;

    private constructor() {}

    static create<T>(): AppendQueue<T> {
        return new AppendQueue();
    }

    /** Queuing time of the oldest append; `undefined` when the queue is empty. */
    get oldestMs(): number | undefined {
        return this.waiting[0]?.queuedMs;
    }

    /** Adds an append unless the queue is full. */
    offer(append: QueuedAppend<T>): boolean {
        const isFull =
            this.transitions + append.transitions.length > LogLimits.queueTransitions ||
            this.bytes + append.bytes > LogLimits.queueBytes;
        if (!isFull) {
            this.waiting.push(append);
            this.count(append, 1);
        }
        return !isFull;
    }

    /** Puts appends back to the front, in their order. */
    putBack(appends: readonly QueuedAppend<T>[]): void {
        this.waiting = [...appends, ...this.waiting];
        for (const append of appends) {
            this.count(append, 1);
        }
    }

    /** Takes appends that fit into one record; at least one when there are any. */
    takeBatch(): QueuedAppend<T>[] {
        let size = 0;
        let count = 0;
        for (const append of this.waiting) {
            if (count > 0 && size + append.bytes > LogLimits.recordBytes) {
                break;
            }
            size += append.bytes;
            count += 1;
        }
        return this.takeFirst(count);
    }

    takeAll(): QueuedAppend<T>[] {
        return this.takeFirst(this.waiting.length);
    }

    /** Takes the appends whose deadline has passed. */
    takeExpired(nowMs: number): QueuedAppend<T>[] {
        const expired = this.waiting.filter(append => append.deadlineMs <= nowMs);
        if (expired.length > 0) {
            this.waiting = this.waiting.filter(append => append.deadlineMs > nowMs);
            expired.forEach(append => this.count(append, -1));
        }
        return expired;
    }

    private takeFirst(count: number): QueuedAppend<T>[] {
        const taken = this.waiting.splice(0, count);
        taken.forEach(append => this.count(append, -1));
        return taken;
    }

    private count(append: QueuedAppend<T>, sign: 1 | -1): void {
        this.transitions += sign * append.transitions.length;
        this.bytes += sign * append.bytes;
    }
}
