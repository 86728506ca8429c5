/** Processors of each interference class on a worker from a point in time on. */
interface WorkloadMix {
    readonly startMs: number;
    readonly processorsByClass: ReadonlyMap<string, number>;
}

/** Recent workload mixes of each worker, so that a lagged report can be matched to the classes that it measured. */
export class WorkloadMixHistory {
    private readonly mixesByWorker = new Map<string, WorkloadMix[]>();

    private constructor(private readonly retentionMs: number) {}

    /** `retentionMs` is the longest lag of a report for which the mix is still known. */
    static create(retentionMs: number): WorkloadMixHistory {
        return new WorkloadMixHistory(retentionMs);
    }

    record(worker: string, processorsByClass: ReadonlyMap<string, number>, nowMs: number): void {
        const history = this.mixesByWorker.get(worker) ?? [];
        const last = history.at(-1);
        if (last !== undefined && last.startMs === nowMs) {
            history.pop();
        }
        history.push({ startMs: nowMs, processorsByClass: new Map(processorsByClass) });
        const firstKept = history.findLastIndex(entry => entry.startMs <= nowMs - this.retentionMs);
        this.mixesByWorker.set(worker, firstKept > 0 ? history.slice(firstKept) : history);
    }

    /** The mix at a time, or `undefined` if it is no longer (or not yet) known. */
    at(worker: string, timeMs: number): ReadonlyMap<string, number> | undefined {
        return this.mixesByWorker.get(worker)?.findLast(entry => entry.startMs <= timeMs)?.processorsByClass;
    }

    removeWorker(worker: string): void {
        this.mixesByWorker.delete(worker);
    }
}
