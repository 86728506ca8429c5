import type { ManualClock } from "@samphireward/core/manual-clock";

/** Events of a simulation in the order of their time; events of equal time keep the order of their creation. */
export class EventQueue {
    private readonly heap: { atMs: number; seq: number; run: () => void }[] = [];
    private nextSeq = 0;

    private constructor(private readonly clock: ManualClock) {}

    static create(clock: ManualClock): EventQueue {
        return new EventQueue(clock);
    }

    after(delayMs: number, run: () => void): void {
        const event = { atMs: this.clock.nowMs() + delayMs, seq: this.nextSeq++, run };
        let index = this.heap.push(event) - 1;
        while (index > 0 && this.isBefore(index, (index - 1) >> 1)) {
            this.swap(index, (index - 1) >> 1);
            index = (index - 1) >> 1;
        }
    }

    /** Runs events up to a time; promise continuations run between them. */
    async runUntil(endMs: number): Promise<void> {
        while (this.heap[0] !== undefined && this.heap[0].atMs <= endMs) {
            const event = this.pop();
            this.clock.advance(event.atMs - this.clock.nowMs());
            event.run();
            await new Promise(resolve => setImmediate(resolve));
        }
        this.clock.advance(endMs - this.clock.nowMs());
    }

    private pop(): { atMs: number; run: () => void } {
        this.swap(0, this.heap.length - 1);
        const first = this.heap.pop();
        let index = 0;
        for (;;) {
            let least = index;
            for (const child of [2 * index + 1, 2 * index + 2]) {
                if (child < this.heap.length && this.isBefore(child, least)) {
                    least = child;
                }
            }
            if (least === index) {
                return first as { atMs: number; run: () => void };
            }
            this.swap(index, least);
            index = least;
        }
    }

    private isBefore(a: number, b: number): boolean {
        const [x, y] = [this.heap[a], this.heap[b]];
        return x !== undefined && y !== undefined && (x.atMs - y.atMs || x.seq - y.seq) < 0;
    }

    private swap(a: number, b: number): void {
        [this.heap[a], this.heap[b]] = [this.heap[b] as never, this.heap[a] as never];
    }
}
