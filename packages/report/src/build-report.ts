import { burnRateRules } from "./burn-rate-rules.js";
import { burnRateWindowsMs } from "./burn-rate-windows-ms.js";
import type { MergedMetrics } from "./merged-metrics.js";
import type { Report } from "./report.js";
import type { RouteReport } from "./route-report.js";
import type { RouteSeries } from "./route-series.js";
import { summarizeLatency } from "./summarize-latency.js";

const buildRouteReport = (series: RouteSeries, { startMs, endMs }: MergedMetrics): RouteReport => {
    const rateOver = (windowMs: number): number =>
        series.burnRateOver(endMs, windowMs, startMs).burnRate ?? 0;
    return {
        route: series.route,
        objective: series.objective,
        windows: Object.values(burnRateWindowsMs).map(windowMs =>
            series.burnRateOver(endMs, windowMs, startMs),
        ),
        rules: burnRateRules.map(({ name, threshold, longMs, shortMs }) => ({
            name,
            threshold,
            firing: rateOver(longMs) >= threshold && rateOver(shortMs) >= threshold,
        })),
        latency: summarizeLatency(series.latencyBetween(endMs - burnRateWindowsMs.oneHour, endMs)),
    };
};

/** Computes burn rates, firing rules and latency percentiles from merged metrics. */
export const buildReport = (metrics: MergedMetrics, missing: Report["missing"]): Report => ({
    processes: metrics.processes,
    missing,
    startMs: metrics.startMs,
    endMs: metrics.endMs,
    spreadMs: metrics.spreadMs,
    routes: metrics.routes.map(series => buildRouteReport(series, metrics)),
    pools: metrics.pools,
});
