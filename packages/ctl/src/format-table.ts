/** Text table with columns padded to their widest cell; numbers are aligned on the right. */
export const formatTable = (
    header: readonly string[],
    rows: readonly (readonly (string | number)[])[],
): string => {
    const widths = header.map((title, column) =>
        Math.max(title.length, ...rows.map(row => String(row[column] ?? "").length)),
    );
    const line = (cells: readonly (string | number)[]): string =>
        cells
            .map((cell, column) => {
                const width = widths[column] ?? 0;
                return typeof cell === "number" ? String(cell).padStart(width) : cell.padEnd(width);
            })
            .join("  ")
            .trimEnd();
    return [header, ...rows].map(line).join("\n");
};
