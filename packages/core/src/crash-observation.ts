/** What the loss of a worker says about one of the tasks that had started there. */
export interface CrashObservation {
    /** Shortest time for which the task had run when the worker was lost, in milliseconds. */
    readonly minAgeMs: number;
    /** Longest such time, in milliseconds. */
    readonly maxAgeMs: number;
    /** Losses of a worker for causes of its own, per millisecond. */
    readonly lossRatePerMs: number;
    /** Probability that a cause which took other workers at the same time took this one as well, 0 to 1. */
    readonly sharedLossProbability: number;
}
