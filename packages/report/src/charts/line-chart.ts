import { chartStyle } from "./chart-style.js";
import { renderSvg } from "./render-svg.js";

/** A time series; `undefined` leaves a gap in the line. */
interface Line {
    readonly name: string;
    readonly points: readonly (readonly [timeMs: number, value: number | undefined])[];
}

interface LineChart {
    readonly title: string;
    readonly isLogarithmic: boolean;
    readonly lines: readonly Line[];
    /** Horizontal threshold lines with their labels. */
    readonly thresholds: readonly { readonly name: string; readonly value: number }[];
}

const formatClockTime = (timeMs: number): string => new Date(timeMs).toISOString().slice(11, 16);

const axisMax = ({ lines, thresholds }: LineChart): number => {
    const values = lines.flatMap(({ points }) => points.flatMap(([, value]) => value ?? []));
    return Math.max(...values, ...thresholds.map(({ value }) => value)) * 1.1;
};

/** A third of the time span: leaves room for labels of five characters even if the axis halves the interval. */
const labelIntervalMs = ({ lines }: LineChart): number => {
    const points = lines[0]?.points ?? [];
    return ((points.at(-1)?.[0] ?? 0) - (points[0]?.[0] ?? 0)) / 3;
};

const thresholdMarkLine = ({ thresholds }: LineChart): object => ({
    silent: true,
    symbol: "none",
    lineStyle: { color: chartStyle.thresholdColor, type: "dashed" },
    label: { position: "end", color: chartStyle.thresholdColor, fontSize: 11, formatter: "{b}" },
    data: thresholds.map(({ name, value }) => ({ name, yAxis: value })),
});

/** Renders time series (in UTC) as SVG text. */
export const renderLineChart = (chart: LineChart): string => {
    const maxValue = axisMax(chart);
    const axis = chart.isLogarithmic
        ? { type: "log" as const, logBase: 10 }
        : { type: "value" as const, min: 0, max: Math.ceil(maxValue) };
    return renderSvg(
        {
            color: [...chartStyle.colors],
            textStyle: { fontFamily: chartStyle.fontFamily },
            title: {
                text: chart.title,
                left: 0,
                top: 0,
                textStyle: { fontSize: 13, color: chartStyle.textColor },
            },
            legend: { top: 26, left: 0, itemHeight: 8, textStyle: { color: chartStyle.textColor } },
            grid: { left: 64, right: 68, top: 58, bottom: 28 },
            xAxis: {
                type: "time",
                minInterval: labelIntervalMs(chart),
                axisLabel: { formatter: formatClockTime, color: chartStyle.textColor, hideOverlap: true },
            },
            yAxis: {
                ...axis,
                axisLabel: { color: chartStyle.textColor },
            },
            series: chart.lines.map(({ name, points }, index) => ({
                type: "line" as const,
                name,
                symbol: "none",
                // ECharts takes a dash as a missing value.
                data: points.map(([timeMs, value]) => [timeMs, value ?? "-"]),
                ...(index === 0 ? { markLine: thresholdMarkLine(chart) } : {}),
            })),
        },
        chartStyle.widthPx,
        chartStyle.heightPx,
    );
};
