import { LatencyRecorder } from "@samphireward/core/latency-recorder";
import { SeededRandom } from "@samphireward/core/seeded-random";
import type { MetricsSnapshot } from "../src/metrics-snapshot.js";

const BucketDurationMs = 10_000;
const BucketCount = 360;
const EndMs = Date.UTC(2026, 10, 20, 9, 0, 0);

interface SampleRoute {
    readonly objective: { readonly latencyMs: number; readonly ratio: number };
    readonly typicalLatencyMs: number;
    readonly requestsPerBucket: number;
    /** Factor applied to the latency, by the elapsed part (0 to 1) of the hour. */
    readonly slowdown: (part: number) => number;
}

const sampleRoutes: Readonly<Record<string, SampleRoute>> = {
    "cutting-plan": {
        objective: { latencyMs: 30_000, ratio: 0.95 },
        typicalLatencyMs: 4_000,
        requestsPerBucket: 2,
        slowdown: () => 1,
    },
    order: {
        objective: { latencyMs: 500, ratio: 0.99 },
        typicalLatencyMs: 70,
        requestsPerBucket: 6,
        slowdown: part => (part > 0.3 && part < 0.45 ? 4 : 1),
    },
    "proof-render": {
        objective: { latencyMs: 250, ratio: 0.99 },
        typicalLatencyMs: 60,
        requestsPerBucket: 20,
        slowdown: part => (part > 0.7 ? 3.2 : 1),
    },
};

const sampleBucket = (
    route: SampleRoute,
    index: number,
    random: SeededRandom,
): MetricsSnapshot["routes"][string]["buckets"][number] => {
    const latency = LatencyRecorder.create();
    let bad = 0;
    for (let request = 0; request < route.requestsPerBucket; request += 1) {
        // Long-tailed distribution: most values are near the typical one, a few are many times as large.
        const tail = Math.min(12, (1 - random.next()) ** -0.3);
        const latencyMs =
            route.typicalLatencyMs * route.slowdown(index / BucketCount) * (0.7 + 0.3 * random.next()) * tail;
        latency.record(latencyMs);
        bad += latencyMs > route.objective.latencyMs ? 1 : 0;
    }
    const startMs = EndMs - (BucketCount - index) * BucketDurationMs;
    return { startMs, good: route.requestsPerBucket - bad, bad, histogram: latency.encode() };
};

const samplePool = (
    waitMs: number,
    finished: number,
    random: SeededRandom,
): MetricsSnapshot["pools"][string] => {
    const wait = LatencyRecorder.create();
    for (let task = 0; task < 200; task += 1) {
        wait.record(waitMs * (1 - random.next()) ** -0.5);
    }
    return { queued: 12, running: 40, finished, failed: 3, evictions: 7, waitHistogram: wait.encode() };
};

const sampleSnapshot = (process: string, seed: number): MetricsSnapshot => {
    const random = SeededRandom.create(seed);
    const routes = Object.entries(sampleRoutes).map(([name, route]) => [
        name,
        {
            objective: route.objective,
            buckets: Array.from({ length: BucketCount }, (_, index) => sampleBucket(route, index, random)),
        },
    ]);
    return {
        process,
        dataCentre: "herning-a",
        wallMs: EndMs,
        counters: {},
        routes: Object.fromEntries(routes) as MetricsSnapshot["routes"],
        pools: {
            "bolt-watches": samplePool(3, 40, random),
            cutting: samplePool(900, 5_000, random),
            ordrestue: samplePool(0.4, 90_000, random),
        },
    };
};

/**
 * One hour of metrics of three entry processes: one route burns its error budget now, one burned it half an hour ago,
 * one is within its objective.
 */
export const sampleSnapshots = (): MetricsSnapshot[] =>
    ["entry-1", "entry-2", "entry-3"].map((process, index) => sampleSnapshot(process, 7 + index));
