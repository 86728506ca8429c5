/** The evidence that a task crashes its workers, as it is stored. */
export interface CrashEvidenceFields {
    /** Number of crashes at the same age. */
    readonly count: number;
    /** Shortest time after its start at which the task may crash a worker, in milliseconds. */
    readonly minAgeMs: number;
    /** Longest such time, in milliseconds. */
    readonly maxAgeMs: number;
    /** Probability that other causes explain the crashes after the first one, 0 to 1. */
    readonly chance: number;
}
