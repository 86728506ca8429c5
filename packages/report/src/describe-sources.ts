import { formatTime } from "@samphireward/ctl/format-time";
import { formatNumber } from "./format-number.js";
import type { Report } from "./report.js";

const MsPerMinute = 60_000;

/** Readings of live processes are less than this apart; a larger difference is reported. */
const MaxUnreportedSpreadMs = 30_000;

/** Describes the data of the report, its missing sources and a large time difference, one line each. */
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
