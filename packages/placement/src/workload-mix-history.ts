/** What ran on a worker from a moment on. */
interface WorkloadMix {
    readonly sinceMs: number;
    readonly classes: ReadonlyMap<string, number>;
}

/** Remembers for a short time what ran on each worker, so that a lagged report meets what it describes. */
export class WorkloadMixHistory {
    private readonly workers = new Map<string, WorkloadMix[]>();

    private constructor(private readonly retentionMs: number) {}

    /** `keepMs` is the longest lag of a report that can be attributed. */
    static create(keepMs: number): WorkloadMixHistory {
        return new WorkloadMixHistory(keepMs);
    }

    record(worker: string, classes: ReadonlyMap<string, number>, nowMs: number): void {
        const history = this.workers.get(worker) ?? [];
        const last = history.at(-1);
        if (last !== undefined && last.sinceMs === nowMs) {
            history.pop();
        }
        history.push({ sinceMs: nowMs, classes: new Map(classes) });
        const firstKept = history.findLastIndex(entry => entry.sinceMs <= nowMs - this.retentionMs);
        this.workers.set(worker, firstKept > 0 ? history.slice(firstKept) : history);
    }

    /** What ran at a time, or `undefined` when that is no longer (or not yet) known. */
    at(worker: string, timeMs: number): ReadonlyMap<string, number> | undefined {
        return this.workers.get(worker)?.findLast(entry => entry.sinceMs <= timeMs)?.classes;
    }

    removeWorker(worker: string): void {
        this.workers.delete(worker);
    }
}
