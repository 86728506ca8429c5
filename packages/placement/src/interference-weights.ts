/** Weights of the cost that `InterferenceAwarePolicy` minimizes; they come from the user's settings. */
export interface InterferenceWeights {
    /** Weight of the squared slowdown of latency-critical classes. */
    readonly tailLatency: number;
    /** Weight of the share of the processors that batch work loses to slowdowns. */
    readonly batch: number;
    /** Weight of the measured load after placement, which decides when no interference is known. */
    readonly load: number;
    /** A task that may wait is not placed where the predicted slowdown of latency-critical work exceeds this. */
    readonly toleratedSlowdown: number;
    readonly latencyCriticalClasses: ReadonlySet<string>;
}
