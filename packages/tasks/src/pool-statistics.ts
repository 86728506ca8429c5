import { LatencyRecorder } from "@samphireward/core/latency-recorder";

/** Counted events of the tasks of one pool since this owner took the cell. */
export class PoolStatistics {
    finished = 0;
    failed = 0;
    cancelled = 0;
    evictions = 0;
    /** Attempts that ended without an outcome, such as by a lost worker. */
    released = 0;
    /** From the acceptance to the first start. */
    readonly wait = LatencyRecorder.create();

    private constructor() {}

    static create(): PoolStatistics {
        return new PoolStatistics();
    }
}
