/** Settings of `InterferenceModel`; docs/placement.md lists the defaults with their reasons. */
export interface InterferenceSettings {
    /** Upper bounds of all load bands except the last. */
    readonly loadBandUpperBounds: readonly number[];
    /** Additional slowdown assumed for an unknown pair if the neighbour used all of the worker's processors. */
    readonly priorEffect: number;
    readonly priorStdDev: number;
    /** Standard deviation of the effect in one load band from the effect over all loads. */
    readonly loadBandStdDev: number;
    /** Standard deviation of a reported slowdown. */
    readonly reportStdDev: number;
    /** Growth of an estimate's standard deviation without reports, in proportion to the square root of the hours. */
    readonly driftStdDevPerSqrtHour: number;
    /** Standard deviations added to an estimate for predictions, so that uncertain pairs are predicted to be worse. */
    readonly upperBoundStdDevs: number;
}
