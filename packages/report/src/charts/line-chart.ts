import { chartStyle } from "./chart-style.js";
import { renderSvg } from "./render-svg.js";

/** A line over time; `undefined` leaves a gap. */
interface Line {
    readonly name: string;
    readonly points: readonly (readonly [timeMs: number, value: number | undefined])[];
}

interface LineChart {
    readonly title: string;
    readonly isLogarithmic: boolean;
    readonly lines: readonly Line[];
    /** Horizontal lines with their labels. */
    readonly limits: readonly { readonly name: string; readonly value: number }[];
}

const clock = (timeMs: number): string => new Date(timeMs).toISOString().slice(11, 16);

const axisMax = ({ lines, limits }: LineChart): number => {
    const values = lines.flatMap(({ points }) => points.flatMap(([, value]) => value ?? []));
    return Math.max(...values, ...limits.map(({ value }) => value)) * 1.1;
};

/** Wide enough for labels of five characters; the axis may halve it. */
const labelInterval = ({ lines }: LineChart): number => {
    const points = lines[0]?.points ?? [];
    return ((points.at(-1)?.[0] ?? 0) - (points[0]?.[0] ?? 0)) / 3;
};

const limitLines = ({ limits }: LineChart): object => ({
    silent: true,
    symbol: "none",
    lineStyle: { color: chartStyle.limit, type: "dashed" },
    label: { position: "end", color: chartStyle.limit, fontSize: 11, formatter: "{b}" },
    data: limits.map(({ name, value }) => ({ name, yAxis: value })),
});

/** Renders lines over time (UTC) as SVG text. */
export const renderLineChart = (chart: LineChart): string => {
    const largest = axisMax(chart);
    const axis = chart.isLogarithmic
        ? { type: "log" as const, logBase: 10 }
        : { type: "value" as const, min: 0, max: Math.ceil(largest) };
    return renderSvg(
        {
            color: [...chartStyle.colors],
            textStyle: { fontFamily: chartStyle.font },
            title: {
                text: chart.title,
                left: 0,
                top: 0,
                textStyle: { fontSize: 13, color: chartStyle.text },
            },
            legend: { top: 26, left: 0, itemHeight: 8, textStyle: { color: chartStyle.text } },
            grid: { left: 64, right: 68, top: 58, bottom: 28 },
            xAxis: {
                type: "time",
                minInterval: labelInterval(chart),
                axisLabel: { formatter: clock, color: chartStyle.text, hideOverlap: true },
            },
            yAxis: {
                ...axis,
                axisLabel: { color: chartStyle.text },
            },
            series: chart.lines.map(({ name, points }, index) => ({
                type: "line" as const,
                name,
                symbol: "none",
                // A dash stands for a missing value.
                data: points.map(([timeMs, value]) => [timeMs, value ?? "-"]),
                ...(index === 0 ? { markLine: limitLines(chart) } : {}),
            })),
        },
        chartStyle.width,
        chartStyle.height,
    );
};
