import { LatencyRecorder } from "@samphireward/core/latency-recorder";
import type { MetricsSnapshot } from "./metrics-snapshot.js";
import type { RouteBucket } from "./route-bucket.js";
import { RouteSeries } from "./route-series.js";

/** Duration that one bucket of GET /v1/metrics covers. */
const BucketDurationMs = 10_000;

const addBucket = (
    merged: Map<number, RouteBucket>,
    bucket: MetricsSnapshot["routes"][string]["buckets"][number],
): void => {
    // Buckets of different processes are not aligned, so start times are rounded down.
    const startMs = Math.floor(bucket.startMs / BucketDurationMs) * BucketDurationMs;
    const existing = merged.get(startMs);
    const latency = existing?.latency ?? LatencyRecorder.create();
    latency.merge(LatencyRecorder.decode(bucket.histogram));
    merged.set(startMs, {
        startMs,
        good: (existing?.good ?? 0) + bucket.good,
        bad: (existing?.bad ?? 0) + bucket.bad,
        latency,
    });
};

const mergeRoute = (name: string, snapshots: readonly MetricsSnapshot[]): RouteSeries => {
    const rows = snapshots.flatMap(({ routes }) => routes[name] ?? []);
    const merged = new Map<number, RouteBucket>();
    for (const bucket of rows.flatMap(({ buckets }) => buckets)) {
        addBucket(merged, bucket);
    }
    // Snapshots are sorted by age. The newest one's objective is used while a new configuration is rolled out.
    const objective = rows.at(-1)?.objective ?? { latencyMs: 0, ratio: 0 };
    return RouteSeries.create(name, objective, [...merged.values()]);
};

/** Adds up each route's buckets over all processes. `snapshots` has one element for each process, oldest first. */
export const mergeRoutes = (snapshots: readonly MetricsSnapshot[]): RouteSeries[] => {
    const names = new Set(snapshots.flatMap(({ routes }) => Object.keys(routes)));
    return [...names].sort().map(name => mergeRoute(name, snapshots));
};
