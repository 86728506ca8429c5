import { format } from "echarts";
import { renderBurnChart } from "./charts/burn-chart.js";
import { renderLatencyChart } from "./charts/latency-chart.js";
import { renderWaitChart } from "./charts/wait-chart.js";
import { describeSources } from "./describe-sources.js";
import { formatAlerts } from "./format-alerts.js";
import type { MergedMetrics } from "./merged-metrics.js";
import { pageStyle } from "./page-style.js";
import { poolTable } from "./pool-table.js";
import type { Report } from "./report.js";
import { routeTable } from "./route-table.js";

const escapeHtml = (text: string): string => format.encodeHTML(text);

const renderCell = (text: string, index: number): string => {
    const tag = index === 0 ? `th scope="row"` : "td";
    const style = /^(page|ticket)/.test(text) ? ` class="firing"` : "";
    return `<${tag}${style}>${escapeHtml(text)}</${tag.split(" ")[0]}>`;
};

const renderTable = ({ header, rows }: { readonly header: string[]; readonly rows: string[][] }): string => {
    const head = header.map(title => `<th scope="col">${escapeHtml(title)}</th>`).join("");
    const body = rows.map(row => `<tr>${row.map(renderCell).join("")}</tr>`).join("\n");
    return `<table>\n<thead><tr>${head}</tr></thead>\n<tbody>\n${body}\n</tbody>\n</table>`;
};

const renderFigure = (label: string, svg: string): string =>
    `<figure role="img" aria-label="${escapeHtml(label)}">${svg}</figure>`;

const renderRouteSections = (report: Report, metrics: MergedMetrics): string[] =>
    report.routes.map((route, index) => {
        const series = metrics.routes[index];
        const charts =
            series === undefined
                ? ""
                : renderFigure(`Burn rate of ${route.route}`, renderBurnChart(series, metrics)) +
                  renderFigure(`Latency of ${route.route}`, renderLatencyChart(series, metrics));
        const alerts = formatAlerts(route);
        const state = alerts === "ok" ? "" : ` <span class="firing">${escapeHtml(alerts)}</span>`;
        return `<h3>${escapeHtml(route.route)}${state}</h3>\n<div class="charts">${charts}</div>`;
    });

const notes = [
    "Burn rate: share of bad requests divided by the share that the objective allows.",
    "page: at least 14.4 over both 1 h and 5 min. ticket: at least 6 over both 1 h and 30 min (the usual long window is 6 h; processes keep 1 h).",
    "Windows reach back as far as there is data. Counts of pools are since the cells' owners started; rates need two readings. Times are UTC.",
];

/** Renders a self-contained HTML page without scripts: tables, and charts as SVG. */
export const renderHtml = (report: Report, metrics: MergedMetrics): string =>
    [
        `<!doctype html>`,
        `<html lang="en">`,
        `<head><meta charset="utf-8"><meta name="viewport" content="width=device-width">`,
        `<title>Service-level report</title>`,
        `<style>${pageStyle}</style></head>`,
        `<body>`,
        `<h1>Service-level report</h1>`,
        ...describeSources(report).map(line => `<p>${escapeHtml(line)}</p>`),
        `<h2>Routes</h2>`,
        renderTable(routeTable(report)),
        ...notes.map(note => `<p class="note">${escapeHtml(note)}</p>`),
        ...renderRouteSections(report, metrics),
        `<h2>Pools</h2>`,
        renderTable(poolTable(report)),
        renderFigure("Queue wait of the pools", renderWaitChart(report.pools)),
        `</body>`,
        `</html>`,
        ``,
    ].join("\n");
