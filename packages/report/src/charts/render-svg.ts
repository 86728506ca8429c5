import type { EChartsOption } from "echarts";
import { init } from "echarts";

/** Renders a chart as SVG text with the server-side rendering of ECharts. */
export const renderSvg = (option: EChartsOption, width: number, height: number): string => {
    const chart = init(undefined, undefined, { renderer: "svg", ssr: true, width, height });
    try {
        chart.setOption({ ...option, animation: false });
        return chart.renderToSVGString();
    } finally {
        // A chart that is not disposed of keeps a timer running, which prevents the process from exiting.
        chart.dispose();
    }
};
