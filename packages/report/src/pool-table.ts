import { formatNumber } from "./format-number.js";
import type { Report } from "./report.js";

/** Builds the table of pools for the text output and the HTML page. */
export const poolTable = (report: Report): { readonly header: string[]; readonly rows: string[][] } => ({
    header: [
        "Pool",
        "Queued",
        "Running",
        "Finished",
        "Failed",
        "Evictions",
        "Finished/s",
        "Evictions/h",
        "Wait p50 ms",
        "Wait p99 ms",
        "Wait p99.9 ms",
    ],
    rows: report.pools.map(pool => [
        pool.pool,
        ...[pool.queued, pool.running, pool.finished, pool.failed, pool.evictions].map(formatNumber),
        formatNumber(pool.finishedPerS),
        formatNumber(pool.evictionsPerHour),
        formatNumber(pool.wait.p50Ms),
        formatNumber(pool.wait.p99Ms),
        formatNumber(pool.wait.p999Ms),
    ]),
});
