/** Bounds on the results of the interference-aware policy, as stated goals (packages/bench/bounds.json). */
export interface Bounds {
    readonly p99ToOracle: number;
    readonly throughputToOracle: number;
    readonly evictionsToLeastLoaded: number;
}
