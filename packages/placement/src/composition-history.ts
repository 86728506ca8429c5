/** What ran on a worker from a moment on. */
interface Composition {
    readonly sinceMs: number;
    readonly classes: ReadonlyMap<string, number>;
}

/** Remembers for a short time what ran on each worker, so that a lagged report meets what it describes. */
export class CompositionHistory {
    private readonly workers = new Map<string, Composition[]>();

    private constructor(private readonly keepMs: number) {}

    /** `keepMs` is the longest lag of a report that can be attributed. */
    static create(keepMs: number): CompositionHistory {
        return new CompositionHistory(keepMs);
    }

    record(worker: string, classes: ReadonlyMap<string, number>, nowMs: number): void {
        const history = this.workers.get(worker) ?? [];
        const last = history.at(-1);
        if (last !== undefined && last.sinceMs === nowMs) {
            history.pop();
        }
        history.push({ sinceMs: nowMs, classes: new Map(classes) });
        const firstKept = history.findLastIndex(entry => entry.sinceMs <= nowMs - this.keepMs);
        this.workers.set(worker, firstKept > 0 ? history.slice(firstKept) : history);
    }

    /** What ran at a time, or `undefined` when that is no longer (or not yet) known. */
    at(worker: string, timeMs: number): ReadonlyMap<string, number> | undefined {
        return this.workers.get(worker)?.findLast(entry => entry.sinceMs <= timeMs)?.classes;
    }

    forgetWorker(worker: string): void {
        this.workers.delete(worker);
    }
}
