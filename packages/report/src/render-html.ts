import { format } from "echarts";
import { renderBurnChart } from "./charts/burn-chart.js";
import { renderLatencyChart } from "./charts/latency-chart.js";
import { renderWaitChart } from "./charts/wait-chart.js";
import { describeSource } from "./describe-source.js";
import { formatAlerts } from "./format-alerts.js";
import type { MergedMetrics } from "./merged-metrics.js";
import { pageStyle } from "./page-style.js";
import { poolRows } from "./pool-rows.js";
import type { Report } from "./report.js";
import { routeRows } from "./route-rows.js";

const escape = (text: string): string => format.encodeHTML(text);

const cell = (text: string, index: number): string => {
    const tag = index === 0 ? `th scope="row"` : "td";
    const style = /^(page|ticket)/.test(text) ? ` class="firing"` : "";
    return `<${tag}${style}>${escape(text)}</${tag.split(" ")[0]}>`;
};

const table = ({ header, rows }: { readonly header: string[]; readonly rows: string[][] }): string => {
    const head = header.map(title => `<th scope="col">${escape(title)}</th>`).join("");
    const body = rows.map(row => `<tr>${row.map(cell).join("")}</tr>`).join("\n");
    return `<table>\n<thead><tr>${head}</tr></thead>\n<tbody>\n${body}\n</tbody>\n</table>`;
};

const figure = (label: string, svg: string): string =>
    `<figure role="img" aria-label="${escape(label)}">${svg}</figure>`;

const routeSections = (report: Report, metrics: MergedMetrics): string[] =>
    report.routes.map((route, index) => {
        const series = metrics.routes[index];
        const charts =
            series === undefined
                ? ""
                : figure(`Burn rate of ${route.route}`, renderBurnChart(series, metrics)) +
                  figure(`Latency of ${route.route}`, renderLatencyChart(series, metrics));
        const alerts = formatAlerts(route);
        const state = alerts === "ok" ? "" : ` <span class="firing">${escape(alerts)}</span>`;
        return `<h3>${escape(route.route)}${state}</h3>\n<div class="charts">${charts}</div>`;
    });

const notes = [
    "Burn rate: share of bad requests divided by the share that the objective allows.",
    "page: at least 14.4 over both 1 h and 5 min. ticket: at least 6 over both 1 h and 30 min (the usual long window is 6 h; processes keep 1 h).",
    "Windows reach back as far as there is data. Counts of pools are since the cells' owners started; rates need two readings. Times are UTC.",
];

/** One self-contained page without scripts: tables, and plots as SVG. */
export const renderHtml = (report: Report, metrics: MergedMetrics): string =>
    [
        `<!doctype html>`,
        `<html lang="en">`,
        `<head><meta charset="utf-8"><meta name="viewport" content="width=device-width">`,
        `<title>Service-level report</title>`,
        `<style>${pageStyle}</style></head>`,
        `<body>`,
        `<h1>Service-level report</h1>`,
        ...describeSource(report).map(line => `<p>${escape(line)}</p>`),
        `<h2>Routes</h2>`,
        table(routeRows(report)),
        ...notes.map(note => `<p class="note">${escape(note)}</p>`),
        ...routeSections(report, metrics),
        `<h2>Pools</h2>`,
        table(poolRows(report)),
        figure("Queue wait of the pools", renderWaitChart(report.pools)),
        `</body>`,
        `</html>`,
        ``,
    ].join("\n");
