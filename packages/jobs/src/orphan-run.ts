import type { Resources } from "@samphireward/core/resources";

/** A run in a worker's listing that belongs to no known task. It is stopped, and reserves resources until then. */
export interface OrphanRun {
    readonly number: number;
    /** Undefined if the job is unknown, so that the size of the run is unknown too. */
    readonly reservation: Resources | undefined;
    /** Monotonic time of the last stop order; 0 if none was sent. */
    readonly stopSentAtMs: number;
}
