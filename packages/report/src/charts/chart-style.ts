/** Colours (distinct also for colour-blind readers) and sizes of all charts. */
export const chartStyle = {
    width: 560,
    height: 260,
    font: "system-ui, sans-serif",
    colors: ["#0072b2", "#e69f00", "#009e73"],
    limit: "#c0392b",
    text: "#333333",
} as const;
