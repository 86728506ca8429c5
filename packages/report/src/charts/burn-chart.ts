import { burnRateRules } from "../burn-rate-rules.js";
import { burnRateWindowsMs } from "../burn-rate-windows-ms.js";
import type { MergedMetrics } from "../merged-metrics.js";
import type { RouteSeries } from "../route-series.js";
import { renderLineChart } from "./line-chart.js";
import { timeSteps } from "./time-steps.js";

const windows = [
    { name: "5 min", windowMs: burnRateWindowsMs.fiveMinutes },
    { name: "30 min", windowMs: burnRateWindowsMs.thirtyMinutes },
    { name: "1 h", windowMs: burnRateWindowsMs.oneHour },
];

/** Renders the burn rates of a route over time, with the rules' thresholds, as SVG text. */
export const renderBurnChart = (series: RouteSeries, { startMs, endMs }: MergedMetrics): string =>
    renderLineChart({
        title: "Burn rate (1 uses up the error budget exactly)",
        isLogarithmic: false,
        lines: windows.map(({ name, windowMs }) => ({
            name,
            points: timeSteps(startMs, endMs).map(timeMs => [
                timeMs,
                series.burnRateOver(timeMs, windowMs, startMs).burnRate,
            ]),
        })),
        thresholds: burnRateRules.map(({ name, threshold }) => ({
            name: `${name} ${threshold}`,
            value: threshold,
        })),
    });
