import type { LatencyRecorder } from "@samphireward/core/latency-recorder";
import type { LatencySummary } from "./latency-summary.js";

/** Computes the count and the percentiles of a histogram. */
export const summarizeLatency = (recorder: LatencyRecorder): LatencySummary => {
    const valueAt = (percentile: number): number | undefined =>
        recorder.count === 0 ? undefined : recorder.percentileMs(percentile);
    return { count: recorder.count, p50Ms: valueAt(50), p99Ms: valueAt(99), p999Ms: valueAt(99.9) };
};
