/** Formats a wall-clock time in UTC, such as `2026-01-31 08:15:00Z`. */
export const formatTime = (timeMs: number): string =>
    new Date(timeMs)
        .toISOString()
        .replace("T", " ")
        .replace(/\.\d+Z$/, "Z");
