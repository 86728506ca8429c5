/** Settings of `InterferenceModel`; docs/placement.md lists the defaults with their reasons. */
export interface InterferenceSettings {
    /** Upper ends of the load bands but the last. */
    readonly loadBandUpperBounds: readonly number[];
    /** Slowdown assumed for an unknown pair, for a neighbour that has all of the worker's processors. */
    readonly priorEffect: number;
    readonly priorStdDev: number;
    /** Deviation of an effect in one load band from the effect over all loads. */
    readonly loadBandStdDev: number;
    /** Standard deviation of a reported slowdown. */
    readonly reportStdDev: number;
    /** Growth of an estimate's deviation in the square root of an hour without reports. */
    readonly driftStdDevPerSqrtHour: number;
    /** Standard deviations added to an estimate when it is used, so that unknown pairs look worse. */
    readonly upperBoundStdDevs: number;
}
