import { LatencyRecorder } from "@samphireward/core/latency-recorder";

/** Event counts of the tasks of one pool since this owner took over the cell. */
export class PoolStatistics {
    finished = 0;
    failed = 0;
    cancelled = 0;
    evictions = 0;
    /** Attempts that ended without an outcome or a checkpoint, such as those on a lost worker. */
    released = 0;
    /** Time from the acceptance to the first start. */
    readonly wait = LatencyRecorder.create();

    private constructor() {}

    static create(): PoolStatistics {
        return new PoolStatistics();
    }
}
