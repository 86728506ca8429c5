import { ManualClock } from "@samphireward/core/manual-clock";
import type { Route } from "@samphireward/core/route";
import t from "tap";
import { RouteMetrics } from "../src/route-metrics.js";

const routeWith = (latency: number): Route =>
    ({ name: "r", objective: { latency, ratio: 0.99 } }) as unknown as Route;

interface Snapshot {
    readonly objective: { readonly latencyMs: number };
    readonly buckets: readonly { readonly good: number; readonly bad: number }[];
}

// Guards against requests that no report counts: those of the last seconds before tables were applied.
t.test("applied tables drop no counts", t => {
    const metrics = RouteMetrics.create(ManualClock.create());
    metrics.record(routeWith(100), 50, true);
    metrics.record(routeWith(100), 50, true);
    metrics.record(routeWith(20), 50, true);
    const { r } = metrics.snapshot() as { readonly r: Snapshot };
    const sum = (count: (bucket: Snapshot["buckets"][number]) => number): number =>
        r.buckets.reduce((total, bucket) => total + count(bucket), 0);
    t.equal(
        sum(({ good }) => good),
        2,
        "good by the objective of their time",
    );
    t.equal(
        sum(({ bad }) => bad),
        1,
    );
    t.equal(r.objective.latencyMs, 20);
    t.end();
});
