import type { PoolReport } from "./pool-report.js";
import type { RouteSeries } from "./route-series.js";

/** Metrics of all processes together. */
export interface MergedMetrics {
    readonly processes: readonly string[];
    /** Start of the first bucket, at most an hour before the end; equal to `endMs` without buckets. */
    readonly startMs: number;
    /** Time of the newest reading. */
    readonly endMs: number;
    /** Difference between the newest readings of the processes; large when a file is old or a clock is off. */
    readonly spreadMs: number;
    readonly routes: readonly RouteSeries[];
    readonly pools: readonly PoolReport[];
}
