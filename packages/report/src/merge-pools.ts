import { LatencyRecorder } from "@samphireward/core/latency-recorder";
import type { MetricsSnapshot } from "./metrics-snapshot.js";
import type { PoolReport } from "./pool-report.js";
import { summarizeLatency } from "./summarize-latency.js";

/** First and last metrics reading of one process. */
interface ProcessReadings {
    readonly first: MetricsSnapshot;
    readonly last: MetricsSnapshot;
}
type PoolMetrics = MetricsSnapshot["pools"][string];
type CounterName = Exclude<keyof PoolMetrics, "waitHistogram">;

const MsPerS = 1_000;
const MsPerHour = 3_600_000;

/** Readings at most this much older than the newest one are treated as simultaneous; older ones are ignored. */
const MaxReadingAgeMs = 30_000;

/** Growth per `unitMs`; `undefined` with only one reading or if the counter was reset in between. */
const growthRate = (
    { first, last }: ProcessReadings,
    pool: string,
    count: CounterName,
    unitMs: number,
): number | undefined => {
    const elapsedMs = last.wallMs - first.wallMs;
    const growth = (last.pools[pool]?.[count] ?? 0) - (first.pools[pool]?.[count] ?? 0);
    return elapsedMs > 0 && growth >= 0 ? (growth * unitMs) / elapsedMs : undefined;
};

const knownTaskCount = (metrics: PoolMetrics | undefined): number =>
    metrics === undefined ? -1 : metrics.queued + metrics.running + metrics.finished + metrics.failed;

/** Finds the process that reports the most tasks; one that cannot reach a cell's owner lacks that cell's tasks. */
const findMostComplete = (
    name: string,
    readings: readonly ProcessReadings[],
): ProcessReadings | undefined => {
    const newestMs = Math.max(...readings.map(({ last }) => last.wallMs));
    return readings
        .filter(({ last }) => last.wallMs >= newestMs - MaxReadingAgeMs)
        .sort((a, b) => knownTaskCount(b.last.pools[name]) - knownTaskCount(a.last.pools[name]))[0];
};

const buildPoolReport = (name: string, readings: readonly ProcessReadings[]): PoolReport[] => {
    const chosen = findMostComplete(name, readings);
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
            finishedPerS: growthRate(chosen, name, "finished", MsPerS),
            evictionsPerHour: growthRate(chosen, name, "evictions", MsPerHour),
            wait: summarizeLatency(LatencyRecorder.decode(waitHistogram)),
        },
    ];
};

/**
 * Returns one report for each pool. Every entry process reports the totals of all cells whose owners it reaches, so
 * values of different processes are not added up; the most complete of the newest readings is used.
 */
export const mergePools = (readings: readonly ProcessReadings[]): PoolReport[] => {
    const names = new Set(readings.flatMap(({ last }) => Object.keys(last.pools)));
    return [...names].sort().flatMap(name => buildPoolReport(name, readings));
};
