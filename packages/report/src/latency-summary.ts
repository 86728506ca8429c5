/** Latency percentiles in milliseconds; `undefined` if nothing was recorded. */
export interface LatencySummary {
    readonly count: number;
    readonly p50Ms: number | undefined;
    readonly p99Ms: number | undefined;
    readonly p999Ms: number | undefined;
}
