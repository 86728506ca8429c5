/** What `InterferenceAwarePolicy` minimizes; the weights come from the user's settings. */
export interface InterferenceWeights {
    /** Weight of the squared slowdown of latency-critical classes. */
    readonly tailLatency: number;
    /** Weight of the processor share that batch work loses to slowdowns. */
    readonly batch: number;
    /** Weight of the measured load after placement; decides between workers without known interference. */
    readonly load: number;
    /** Predicted slowdown of latency-critical work above which a task that may wait is not placed. */
    readonly toleratedSlowdown: number;
    readonly latencyCriticalClasses: ReadonlySet<string>;
}
