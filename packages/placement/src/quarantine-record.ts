import type { WorkerHealth } from "./worker-health.js";

/** State of one worker in `QuarantineTracker`. */
export interface QuarantineRecord {
    health: WorkerHealth;
    manual: boolean;
    /** Jobs that failed here in a row and, so far, nowhere else. */
    readonly evidence: Set<string>;
    /** Different jobs that succeeded in a row on probation. */
    readonly successes: Set<string>;
    endsMs: number;
    /** Length of the last quarantine, 0 before the first. */
    lastMs: number;
}
