import type { LatencySummary } from "./latency-summary.js";

/** One pool over all cells. Counts are since the cells' owners started. */
export interface PoolReport {
    readonly pool: string;
    readonly queued: number;
    readonly running: number;
    readonly finished: number;
    readonly failed: number;
    readonly evictions: number;
    /** Tasks finished per second between two readings; `undefined` with one reading only. */
    readonly finishedPerS: number | undefined;
    /** Evictions per hour between two readings; `undefined` with one reading only. */
    readonly evictionsPerHour: number | undefined;
    readonly wait: LatencySummary;
}
