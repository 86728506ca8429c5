/** Effect of one class on another in one load band. */
export interface PairEstimate {
    /** Additional slowdown for a neighbour that has all of the worker's processors. */
    effect: number;
    variance: number;
    /** The effect with the caution added, as predictions use it. */
    upperBound: number;
    updatedAtMs: number;
}
