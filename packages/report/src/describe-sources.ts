import { formatTime } from "@samphireward/ctl/format-time";
import { formatNumber } from "./format-number.js";
import type { Report } from "./report.js";

const MsPerMinute = 60_000;

/** Two readings of live processes differ by less; a larger difference is named. */
const MaxUnreportedSpreadMs = 30_000;

/** What the report is based on, and what it lacks: one line each. */
export const describeSources = (report: Report): string[] => {
    const minutes = formatNumber((report.endMs - report.startMs) / MsPerMinute);
    const head =
        `${formatTime(report.endMs)}, ${minutes} min of data from ${report.processes.length} processes: ` +
        report.processes.join(", ");
    const missing = report.missing.map(({ source, message }) => `Missing: ${source}: ${message}`);
    const spread =
        report.spreadMs > MaxUnreportedSpreadMs
            ? [
                  `The readings are up to ${formatNumber(report.spreadMs / MsPerMinute)} min apart; the windows end at the newest one.`,
              ]
            : [];
    return [head, ...missing, ...spread];
};
