import type { WorkerHealth } from "./worker-health.js";

/** State of one worker in `QuarantineTracker`. */
export interface QuarantineRecord {
    health: WorkerHealth;
    isManual: boolean;
    /** Jobs that failed in a row on this worker and, so far, on no other. */
    readonly failedJobs: Set<string>;
    /** Jobs that succeeded in a row on probation. */
    readonly succeededJobs: Set<string>;
    endsAtMs: number;
    /** Duration of the last quarantine; 0 before the first. */
    lastDurationMs: number;
}
