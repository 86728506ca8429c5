import type { WorkerHealth } from "./worker-health.js";

/** State of one worker in `QuarantineTracker`. */
export interface QuarantineRecord {
    health: WorkerHealth;
    isManual: boolean;
    /** Jobs that failed here in a row and, so far, nowhere else. */
    readonly failedJobs: Set<string>;
    /** Different jobs that succeeded in a row on probation. */
    readonly succeededJobs: Set<string>;
    endsAtMs: number;
    /** Length of the last quarantine, 0 before the first. */
    lastDurationMs: number;
}
