import { burnRules } from "./burn-rules.js";
import { burnWindows } from "./burn-windows.js";
import type { MergedMetrics } from "./merged-metrics.js";
import type { Report } from "./report.js";
import type { RouteReport } from "./route-report.js";
import type { RouteSeries } from "./route-series.js";
import { summarizeLatency } from "./summarize-latency.js";

const reportRoute = (series: RouteSeries, { startMs, endMs }: MergedMetrics): RouteReport => {
    const rateOver = (windowMs: number): number => series.burn(endMs, windowMs, startMs).burnRate ?? 0;
    return {
        route: series.route,
        objective: series.objective,
        windows: Object.values(burnWindows).map(windowMs => series.burn(endMs, windowMs, startMs)),
        rules: burnRules.map(({ name, threshold, longMs, shortMs }) => ({
            name,
            threshold,
            firing: rateOver(longMs) >= threshold && rateOver(shortMs) >= threshold,
        })),
        latency: summarizeLatency(series.latency(endMs - burnWindows.oneHour, endMs)),
    };
};

/** Computes burn rates, rules and percentiles from merged metrics. */
export const buildReport = (metrics: MergedMetrics, missing: Report["missing"]): Report => ({
    processes: metrics.processes,
    missing,
    startMs: metrics.startMs,
    endMs: metrics.endMs,
    spreadMs: metrics.spreadMs,
    routes: metrics.routes.map(series => reportRoute(series, metrics)),
    pools: metrics.pools,
});
