import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Result as ResultOf } from "ts-results-es";
import { burnRateWindowsMs } from "./burn-rate-windows-ms.js";
import { mergePools } from "./merge-pools.js";
import { mergeRoutes } from "./merge-routes.js";
import type { MergedMetrics } from "./merged-metrics.js";
import type { MetricsSnapshot } from "./metrics-snapshot.js";

const groupByProcess = (snapshots: readonly MetricsSnapshot[]): MetricsSnapshot[][] => {
    const groups = new Map<string, MetricsSnapshot[]>();
    for (const snapshot of [...snapshots].sort((a, b) => a.wallMs - b.wallMs)) {
        groups.set(snapshot.process, [...(groups.get(snapshot.process) ?? []), snapshot]);
    }
    return [...groups.values()];
};

const mergeNonEmpty = (snapshots: readonly MetricsSnapshot[]): MergedMetrics => {
    const readings = groupByProcess(snapshots).flatMap(group => {
        const [first, last] = [group[0], group.at(-1)];
        return first !== undefined && last !== undefined ? [{ first, last }] : [];
    });
    const latest = readings.map(({ last }) => last).sort((a, b) => a.wallMs - b.wallMs);
    const endMs = Math.max(...latest.map(({ wallMs }) => wallMs));
    const routes = mergeRoutes(latest);
    return {
        processes: latest.map(({ process }) => process).sort(),
        // A route with few requests can have buckets that are older than one hour.
        startMs: Math.max(
            endMs - burnRateWindowsMs.oneHour,
            Math.min(endMs, ...routes.flatMap(({ startMs }) => startMs ?? [])),
        ),
        endMs,
        spreadMs: endMs - Math.min(...latest.map(({ wallMs }) => wallMs)),
        routes,
        pools: mergePools(readings),
    };
};

/**
 * Merges the readings of all processes. Of several readings of one process the last one is used; rates are computed
 * from the first and the last.
 */
export const mergeSnapshots = (snapshots: readonly MetricsSnapshot[]): Result<MergedMetrics, CodedError> => {
    if (snapshots.length === 0) {
        return Err(CodedError.create(ResultCode.UsageError, "Expected the metrics of at least one process"));
    }
    // The histogram library throws an exception for text that is not an encoded histogram.
    return ResultOf.wrap(() => mergeNonEmpty(snapshots)).mapErr(err => {
        const message = `Expected compressed base64 HdrHistograms in the metrics: ${(err as Error).message}`;
        return CodedError.create(ResultCode.AnswerMalformed, message);
    });
};
