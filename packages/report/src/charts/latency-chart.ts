import { burnRateWindowsMs } from "../burn-rate-windows-ms.js";
import type { MergedMetrics } from "../merged-metrics.js";
import type { RouteSeries } from "../route-series.js";
import { renderLineChart } from "./line-chart.js";
import { timeSteps } from "./time-steps.js";

const percentiles = [
    { name: "p50", percentile: 50 },
    { name: "p99", percentile: 99 },
    { name: "p99.9", percentile: 99.9 },
];

/** Renders a route's latency percentiles over sliding windows of 5 minutes, with its objective, as SVG text. */
export const renderLatencyChart = (series: RouteSeries, { startMs, endMs }: MergedMetrics): string => {
    const steps = timeSteps(startMs, endMs).map(timeMs => ({
        timeMs,
        latency: series.latencyBetween(timeMs - burnRateWindowsMs.fiveMinutes, timeMs),
    }));
    return renderLineChart({
        title: "Latency over the last 5 min in ms (logarithmic)",
        isLogarithmic: true,
        lines: percentiles.map(({ name, percentile }) => ({
            name,
            points: steps.map(({ timeMs, latency }) => [
                timeMs,
                latency.count === 0 ? undefined : latency.percentileMs(percentile),
            ]),
        })),
        thresholds: [
            { name: `objective\n${series.objective.latencyMs} ms`, value: series.objective.latencyMs },
        ],
    });
};
