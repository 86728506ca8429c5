import type { LatencySummary } from "./latency-summary.js";

/** Figures of one pool over all cells. Totals are counted since the cells' owners started. */
export interface PoolReport {
    readonly pool: string;
    readonly queued: number;
    readonly running: number;
    readonly finished: number;
    readonly failed: number;
    readonly evictions: number;
    /** Tasks finished per second between two readings; `undefined` with only one reading or after a counter reset. */
    readonly finishedPerS: number | undefined;
    /** Evictions per hour between two readings; `undefined` with only one reading or after a counter reset. */
    readonly evictionsPerHour: number | undefined;
    readonly wait: LatencySummary;
}
