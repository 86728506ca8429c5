/** Colours and sizes of all charts. The line colours are distinguishable for colour-blind readers. */
export const chartStyle = {
    widthPx: 560,
    heightPx: 260,
    fontFamily: "system-ui, sans-serif",
    colors: ["#0072b2", "#e69f00", "#009e73"],
    thresholdColor: "#c0392b",
    textColor: "#333333",
} as const;
