import { LatencyRecorder } from "@samphireward/core/latency-recorder";
import fc from "fast-check";
import t from "tap";
import { buildReport } from "../src/build-report.js";
import { mergeSnapshots } from "../src/merge-snapshots.js";
import type { MetricsSnapshot } from "../src/metrics-snapshot.js";
import type { Report } from "../src/report.js";

const EndMs = 3_600_000;
const MinuteMs = 60_000;

const histogramOf = (latenciesMs: readonly number[]): string => {
    const recorder = LatencyRecorder.create();
    latenciesMs.forEach(latencyMs => recorder.record(latencyMs));
    return recorder.encode();
};

interface Bucket {
    readonly minutesAgo: number;
    readonly good: number;
    readonly bad: number;
    readonly latenciesMs?: readonly number[];
}

const snapshot = (
    process: string,
    buckets: readonly Bucket[],
    more: { readonly wallMs?: number; readonly finished?: number; readonly waitsMs?: readonly number[] } = {},
): MetricsSnapshot => ({
    process,
    dataCentre: "a",
    wallMs: more.wallMs ?? EndMs,
    counters: {},
    routes: {
        r: {
            objective: { latencyMs: 100, ratio: 0.99 },
            buckets: buckets.map(({ minutesAgo, good, bad, latenciesMs }) => ({
                startMs: EndMs - minutesAgo * MinuteMs,
                good,
                bad,
                histogram: histogramOf(latenciesMs ?? []),
            })),
        },
    },
    pools: {
        p: {
            queued: 1,
            running: 2,
            finished: more.finished ?? 10,
            failed: 3,
            evictions: 4,
            waitHistogram: histogramOf(more.waitsMs ?? []),
        },
    },
});

const buildReportOf = (snapshots: readonly MetricsSnapshot[]): Report =>
    buildReport(mergeSnapshots(snapshots).unwrap(), []);

// Guards against a wrong window or error budget, and against a rule that fires although only one window exceeds it.
t.test("burn rates and rules", t => {
    const cases: { name: string; buckets: Bucket[]; rates: (number | undefined)[]; firing: string[] }[] = [
        { name: "no requests", buckets: [], rates: [undefined, undefined, undefined], firing: [] },
        {
            name: "on budget",
            buckets: [{ minutesAgo: 1, good: 990, bad: 10 }],
            rates: [1, 1, 1],
            firing: [],
        },
        {
            name: "burns over both windows",
            buckets: [
                { minutesAgo: 1, good: 80, bad: 20 },
                { minutesAgo: 50, good: 80, bad: 20 },
            ],
            rates: [20, 20, 20],
            firing: ["page", "ticket"],
        },
        {
            name: "burned earlier, not now",
            buckets: [
                { minutesAgo: 1, good: 100, bad: 0 },
                { minutesAgo: 50, good: 50, bad: 50 },
            ],
            rates: [0, 0, 25],
            firing: [],
        },
        {
            name: "short burst only",
            buckets: [
                { minutesAgo: 1, good: 50, bad: 50 },
                { minutesAgo: 20, good: 900, bad: 0 },
                { minutesAgo: 50, good: 9_000, bad: 0 },
            ],
            rates: [50, 5, 0.5],
            firing: [],
        },
        {
            name: "slow burn",
            buckets: [
                { minutesAgo: 1, good: 92, bad: 8 },
                { minutesAgo: 50, good: 92, bad: 8 },
            ],
            rates: [8, 8, 8],
            firing: ["ticket"],
        },
    ];
    for (const { name, buckets, rates, firing } of cases) {
        const route = buildReportOf([snapshot("one", buckets)]).routes[0];
        const found = route?.windows.map(({ burnRate }) => burnRate && Number(burnRate.toFixed(6)));
        t.strictSame(found, rates, name);
        const names = route?.rules.filter(rule => rule.firing).map(rule => rule.name);
        t.strictSame(names, firing, name);
    }
    t.end();
});

// Guards against averaging the processes' figures instead of merging them, and against lost or double-counted requests.
t.test("merged processes give the same routes as one process with all requests", t => {
    const latencies = fc.array(fc.integer({ min: 1, max: 60_000 }), { maxLength: 30 });
    const minutes = fc.integer({ min: 1, max: 59 });
    const bucket = fc.record({
        minutesAgo: minutes,
        good: fc.nat(50),
        bad: fc.nat(50),
        latenciesMs: latencies,
    });
    const parts = fc.array(
        fc.uniqueArray(bucket, { selector: ({ minutesAgo }) => minutesAgo, maxLength: 5 }),
        {
            minLength: 1,
            maxLength: 4,
        },
    );
    const property = fc.property(parts, processes => {
        const merged = buildReportOf(processes.map((buckets, index) => snapshot(`entry-${index}`, buckets)));
        const whole = buildReportOf([snapshot("all", processes.flat())]);
        t.strictSame(merged.routes, whole.routes);
    });
    fc.assert(property, { seed: 20_261_204, numRuns: 60 });
    t.end();
});

// Guards against counting a process or pool twice, and against rates computed across a restart.
t.test("several readings of a process", t => {
    const buckets = [{ minutesAgo: 1, good: 9, bad: 1 }];
    const first = snapshot("one", buckets, { wallMs: EndMs - 10_000, finished: 10 });
    const last = snapshot("one", buckets, { finished: 30, waitsMs: [5] });
    const other = snapshot("two", buckets, { finished: 7, waitsMs: [7] });
    const report = buildReportOf([last, first, other]);
    t.strictSame(report.processes, ["one", "two"]);
    t.equal(report.routes[0]?.windows[0]?.bad, 2);
    // Each process reports the totals of the pool, and the second one does not reach all cells.
    const [pool] = report.pools;
    t.match(pool, { finished: 30, finishedPerS: 2, evictionsPerHour: 0, running: 2 });
    t.equal(pool?.wait.count, 1);
    // Histograms keep three significant digits.
    t.equal(pool?.wait.p50Ms?.toFixed(1), "5.0");

    const old = snapshot("old", buckets, { wallMs: EndMs - 60_000, finished: 99 });
    t.equal(buildReportOf([old, last]).pools[0]?.finished, 30);

    const restarted = buildReportOf([first, snapshot("one", buckets, { finished: 3 })]);
    t.match(restarted.pools[0], { finished: 3, finishedPerS: undefined });
    t.end();
});

// Guards against an uncaught exception for text that is not a histogram.
t.test("a malformed histogram is an error", t => {
    const valid = snapshot("one", []);
    const pools = { p: { ...valid.pools["p"]!, waitHistogram: "AAAA" } };
    const result = mergeSnapshots([{ ...valid, pools }]);
    t.equal(result.isErr() && result.error.code, 3003);
    t.equal(mergeSnapshots([]).isErr(), true);
    t.end();
});
