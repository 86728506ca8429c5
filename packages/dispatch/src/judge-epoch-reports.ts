import type { EpochReport } from "./epoch-report.js";
import { TakeoverCheckResult } from "./takeover-check-result.js";

/** Reports about a cell, and how many processes could have reported. */
interface EpochReports {
    /** Epoch of the owner that asked. */
    readonly epoch: number;
    readonly reports: readonly EpochReport[];
    /** Number of the other processes, including those that did not answer. */
    readonly processCount: number;
}

/**
 * Judges whether another process may have taken the cell over. One that reaches the store knows. Otherwise the store counts
 * as away for all if most processes, with the one that asked, do not reach it: a smaller part of them may be cut off from
 * the store and from the new owner together.
 */
export const judgeEpochReports = ({ epoch, reports, processCount }: EpochReports): TakeoverCheckResult => {
    if (reports.some(report => report.epoch !== undefined && report.epoch > epoch)) {
        return TakeoverCheckResult.Superseded;
    }
    if (reports.some(report => report.isCurrent)) {
        return TakeoverCheckResult.StillOwner;
    }
    const cutOffCount = reports.length + 1;
    return cutOffCount * 2 > processCount + 1 ? TakeoverCheckResult.StillOwner : TakeoverCheckResult.Unknown;
};
