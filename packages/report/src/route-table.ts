import { formatAlerts } from "./format-alerts.js";
import { formatNumber } from "./format-number.js";
import type { Report } from "./report.js";

/** Builds the table of routes for the text output and the HTML page. */
export const routeTable = (report: Report): { readonly header: string[]; readonly rows: string[][] } => ({
    header: [
        "Route",
        "Objective",
        "Requests",
        "Bad",
        "Burn 5 min",
        "Burn 30 min",
        "Burn 1 h",
        "Alert",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
    ],
    rows: report.routes.map(route => {
        const lastHour = route.windows.at(-1) ?? { good: 0, bad: 0 };
        return [
            route.route,
            `${Number((route.objective.ratio * 100).toFixed(3))}% in ${formatNumber(route.objective.latencyMs)} ms`,
            formatNumber(lastHour.good + lastHour.bad),
            formatNumber(lastHour.bad),
            ...route.windows.map(({ burnRate }) => formatNumber(burnRate)),
            formatAlerts(route),
            formatNumber(route.latency.p50Ms),
            formatNumber(route.latency.p99Ms),
            formatNumber(route.latency.p999Ms),
        ];
    }),
});
