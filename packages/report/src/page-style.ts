/** Style sheet of the HTML page. */
export const pageStyle = `
body { font: 14px/1.45 system-ui, sans-serif; color: #222; max-width: 1160px; margin: 24px auto; padding: 0 16px; }
h1 { font-size: 22px; } h2 { font-size: 18px; margin-top: 32px; } h3 { font-size: 15px; margin: 24px 0 6px; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { padding: 5px 8px; text-align: right; border-bottom: 1px solid #ddd; white-space: nowrap; }
thead th { border-bottom: 2px solid #888; font-weight: 600; white-space: normal; vertical-align: bottom; }
th:first-child { text-align: left; }
.firing { color: #fff; background: #c0392b; border-radius: 3px; padding: 2px 6px; }
.note { color: #555; margin: 4px 0; font-size: 13px; }
.charts { display: flex; flex-wrap: wrap; gap: 16px; }
figure { margin: 8px 0; }
svg { max-width: 100%; height: auto; }
`;
