/** Estimated effect of one class on another in one load band. */
export interface PairEstimate {
    /** Additional slowdown if the neighbour used all of the worker's processors. */
    effect: number;
    variance: number;
    /** Effect plus `upperBoundStdDevs` standard deviations; predictions use this value. */
    upperBound: number;
    updatedAtMs: number;
}
