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

const sum = (pools: readonly PoolMetrics[], count: Count): number =>
    pools.reduce((total, pool) => total + pool[count], 0);

/** Growth per `unitMs`; a process that was restarted between its readings is left out. */
const rate = (
    readings: readonly Readings[],
    pool: string,
    count: Count,
    unitMs: number,
): number | undefined => {
    const rates = readings.flatMap(({ first, last }) => {
        const elapsedMs = last.wallMs - first.wallMs;
        const growth = (last.pools[pool]?.[count] ?? 0) - (first.pools[pool]?.[count] ?? 0);
        return elapsedMs > 0 && growth >= 0 ? [(growth * unitMs) / elapsedMs] : [];
    });
    return rates.length === 0 ? undefined : rates.reduce((total, value) => total + value, 0);
};

const mergePool = (name: string, readings: readonly Readings[]): PoolReport => {
    const pools = readings.flatMap(({ last }) => last.pools[name] ?? []);
    const wait = LatencyRecorder.create();
    for (const { waitHistogram } of pools) {
        wait.merge(LatencyRecorder.decode(waitHistogram));
    }
    return {
        pool: name,
        queued: sum(pools, "queued"),
        running: sum(pools, "running"),
        finished: sum(pools, "finished"),
        failed: sum(pools, "failed"),
        evictions: sum(pools, "evictions"),
        finishedPerS: rate(readings, name, "finished", MsPerS),
        evictionsPerHour: rate(readings, name, "evictions", MsPerHour),
        wait: summarizeLatency(wait),
    };
};

/** Adds up each pool over the processes. */
export const mergePools = (readings: readonly Readings[]): PoolReport[] => {
    const names = new Set(readings.flatMap(({ last }) => Object.keys(last.pools)));
    return [...names].sort().map(name => mergePool(name, readings));
};
