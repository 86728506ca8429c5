/** Regression bounds of the interference-aware policy (packages/bench/bounds.json). */
export interface Bounds {
    readonly p99ToOracle: number;
    readonly throughputToOracle: number;
    readonly evictionsToLeastLoaded: number;
    /** Evictions allowed where the goal is not reached, by `<user>/<scenario>`. */
    readonly evictionsAllowed: Readonly<Record<string, number>>;
}
