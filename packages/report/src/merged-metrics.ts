import type { PoolReport } from "./pool-report.js";
import type { RouteSeries } from "./route-series.js";

/** Metrics merged over all processes. */
export interface MergedMetrics {
    readonly processes: readonly string[];
    /** Start of the first bucket, at most one hour before `endMs`; equal to `endMs` if there are no buckets. */
    readonly startMs: number;
    /** Time of the newest reading. */
    readonly endMs: number;
    /** Time between the oldest and newest of the processes' last readings; large for an old file or a wrong clock. */
    readonly spreadMs: number;
    readonly routes: readonly RouteSeries[];
    readonly pools: readonly PoolReport[];
}
