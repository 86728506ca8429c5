type Row = readonly (string | number)[];

const NumberPattern = /^(-|[\d.,]+)$/;

/** Formats a text table with columns padded to their widest cell. Numeric columns are right-aligned. */
export const formatTable = (header: readonly string[], rows: readonly Row[]): string => {
    const columns = header.map((title, index) => {
        const cells = rows.map(row => String(row[index] ?? ""));
        const width = Math.max(title.length, ...cells.map(cell => cell.length));
        return { width, isNumeric: cells.length > 0 && cells.every(cell => NumberPattern.test(cell)) };
    });
    const line = (row: Row): string =>
        columns
            .map(({ width, isNumeric }, index) => {
                const cell = String(row[index] ?? "");
                return isNumeric ? cell.padStart(width) : cell.padEnd(width);
            })
            .join("  ")
            .trimEnd();
    return [header, ...rows].map(line).join("\n");
};
