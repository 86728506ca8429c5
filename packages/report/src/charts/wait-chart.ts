import type { PoolReport } from "../pool-report.js";
import { chartStyle } from "./chart-style.js";
import { renderSvg } from "./render-svg.js";

const HeightPerPoolPx = 70;
const FrameHeightPx = 80;

/** Smaller values are drawn as this value, because a logarithmic axis has no zero. */
const MinShownMs = 0.1;

/** Renders the queue wait of each pool as bars on a logarithmic axis, as SVG text. */
export const renderWaitChart = (pools: readonly PoolReport[]): string => {
    const shown = pools.filter(({ wait }) => wait.count > 0);
    const bars = [
        { name: "p50", values: shown.map(({ wait }) => wait.p50Ms) },
        { name: "p99", values: shown.map(({ wait }) => wait.p99Ms) },
        { name: "p99.9", values: shown.map(({ wait }) => wait.p999Ms) },
    ];
    return renderSvg(
        {
            color: [...chartStyle.colors],
            textStyle: { fontFamily: chartStyle.fontFamily },
            title: {
                text: "Queue wait in ms (logarithmic)",
                left: 0,
                top: 0,
                textStyle: { fontSize: 13, color: chartStyle.textColor },
            },
            legend: { top: 26, left: 0, itemHeight: 8, textStyle: { color: chartStyle.textColor } },
            grid: { left: 130, right: 70, top: 58, bottom: 28 },
            xAxis: {
                type: "log",
                logBase: 10,
                min: MinShownMs,
                startValue: MinShownMs,
                axisLabel: { color: chartStyle.textColor },
            },
            yAxis: {
                type: "category",
                inverse: true,
                data: shown.map(({ pool }) => pool),
                axisLabel: { color: chartStyle.textColor, width: 120, overflow: "truncate" },
            },
            series: bars.map(({ name, values }) => ({
                type: "bar" as const,
                name,
                label: { show: true, position: "right" as const, color: chartStyle.textColor, fontSize: 11 },
                data: values.map(value => Math.max(MinShownMs, Number((value ?? 0).toPrecision(3)))),
            })),
        },
        2 * chartStyle.widthPx,
        FrameHeightPx + HeightPerPoolPx * shown.length,
    );
};
