import type { Resources } from "@samphireward/core/resources";

/** A run that a worker lists and that is no task's current run. It is stopped, and holds resources until then. */
export interface OrphanRun {
    readonly number: number;
    /** Undefined: the job is not known, so its size is not either. */
    readonly reservation: Resources | undefined;
    /** Monotonic time of the last stop that was ordered; 0: none. */
    readonly stopSentAtMs: number;
}
