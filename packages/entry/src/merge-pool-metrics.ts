import { LatencyRecorder } from "@samphireward/core/latency-recorder";
import type { CellSummary } from "./cell-summary.js";

type PoolMetrics = CellSummary["pools"][string];

const mergeHistograms = (a: string, b: string): string => {
    const merged = LatencyRecorder.decode(a);
    merged.merge(LatencyRecorder.decode(b));
    return merged.encode();
};

const addMetrics = (a: PoolMetrics, b: PoolMetrics): PoolMetrics => ({
    queued: a.queued + b.queued,
    running: a.running + b.running,
    finished: a.finished + b.finished,
    failed: a.failed + b.failed,
    evictions: a.evictions + b.evictions,
    waitHistogram: mergeHistograms(a.waitHistogram, b.waitHistogram),
});

/** Sums the metrics of each pool over all cells. */
export const mergePoolMetrics = (cells: readonly CellSummary[]): Record<string, PoolMetrics> => {
    const merged: Record<string, PoolMetrics> = {};
    for (const { pools } of cells) {
        for (const [name, metrics] of Object.entries(pools)) {
            const existing = merged[name];
            merged[name] = existing === undefined ? metrics : addMetrics(existing, metrics);
        }
    }
    return merged;
};
