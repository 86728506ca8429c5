import { LatencyRecorder } from "@samphireward/core/latency-recorder";
import type { MetricsSnapshot } from "./metrics-snapshot.js";
import type { PoolReport } from "./pool-report.js";
import { summarizeLatency } from "./summarize-latency.js";

/** First and last reading of one process. */
interface Readings {
    readonly first: MetricsSnapshot;
    readonly last: MetricsSnapshot;
}
type PoolMetrics = MetricsSnapshot["pools"][string];
type Count = Exclude<keyof PoolMetrics, "waitHistogram">;

const MsPerS = 1_000;
const MsPerHour = 3_600_000;

/** Readings that are at most this much older than the newest one describe the same state. */
const SameTimeMs = 30_000;

/** Growth per `unitMs`; `undefined` with one reading and when the counts began again in between. */
const rate = ({ first, last }: Readings, pool: string, count: Count, unitMs: number): number | undefined => {
    const elapsedMs = last.wallMs - first.wallMs;
    const growth = (last.pools[pool]?.[count] ?? 0) - (first.pools[pool]?.[count] ?? 0);
    return elapsedMs > 0 && growth >= 0 ? (growth * unitMs) / elapsedMs : undefined;
};

const taskCount = (metrics: PoolMetrics | undefined): number =>
    metrics === undefined ? -1 : metrics.queued + metrics.running + metrics.finished + metrics.failed;

/** The process that knows most of the pool: one that does not reach a cell's owner lacks that cell's tasks. */
const mostComplete = (name: string, readings: readonly Readings[]): Readings | undefined => {
    const newestMs = Math.max(...readings.map(({ last }) => last.wallMs));
    return readings
        .filter(({ last }) => last.wallMs >= newestMs - SameTimeMs)
        .sort((a, b) => taskCount(b.last.pools[name]) - taskCount(a.last.pools[name]))[0];
};

const reportPool = (name: string, readings: readonly Readings[]): PoolReport[] => {
    const chosen = mostComplete(name, readings);
    const metrics = chosen?.last.pools[name];
    if (chosen === undefined || metrics === undefined) {
        return [];
    }
    const { queued, running, finished, failed, evictions, waitHistogram } = metrics;
    return [
        {
            pool: name,
            queued,
            running,
            finished,
            failed,
            evictions,
            finishedPerS: rate(chosen, name, "finished", MsPerS),
            evictionsPerHour: rate(chosen, name, "evictions", MsPerHour),
            wait: summarizeLatency(LatencyRecorder.decode(waitHistogram)),
        },
    ];
};

/**
 * One row for each pool. Every entry process reports the totals of all cells whose owners it reaches, so the
 * processes are not added up: the most complete of the newest readings is used.
 */
export const mergePools = (readings: readonly Readings[]): PoolReport[] => {
    const names = new Set(readings.flatMap(({ last }) => Object.keys(last.pools)));
    return [...names].sort().flatMap(name => reportPool(name, readings));
};
