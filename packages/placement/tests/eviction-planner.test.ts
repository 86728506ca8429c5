import { Resources } from "@samphireward/core/resources";
import fc from "fast-check";
import t from "tap";
import type { EvictionCandidate } from "../src/eviction-candidate.js";
import { EvictionPlanner } from "../src/eviction-planner.js";

const task = (
    key: string,
    lostProcessorSeconds: number,
    more: Partial<EvictionCandidate> = {},
): EvictionCandidate => ({
    key,
    lostProcessorSeconds,
    resources: Resources.create({ processors: 2, memoryMb: 100 }),
    pressureShare: 1,
    processorShare: 1,
    ...more,
});

const throttled = { processorShare: 0.25 };

// Guards against eviction before throttling, and against the eviction of a task that loses more work than another.
t.test("actions on an overloaded worker", t => {
    const cases: { name: string; tasks: EvictionCandidate[]; expected: string[]; pressure?: number }[] = [
        {
            name: "a small excess is tolerated",
            tasks: [task("a", 9, throttled)],
            pressure: 1.4,
            expected: [],
        },
        {
            name: "throttling the task with the greatest pressure share suffices",
            tasks: [task("a", 1, { pressureShare: 0.5 }), task("b", 9, { pressureShare: 0.9 })],
            expected: ["throttle b 0.5"],
        },
        {
            name: "several tasks are throttled if one does not suffice",
            tasks: [task("a", 1, { pressureShare: 0.4 }), task("b", 9, { pressureShare: 0.5 })],
            expected: ["throttle b 0.5", "throttle a 0.5"],
        },
        {
            name: "tasks with a small pressure share are not throttled",
            tasks: [task("a", 9, { pressureShare: 0.5 }), task("b", 1, { pressureShare: 0.1 })],
            expected: ["throttle a 0.5"],
        },
        {
            name: "tasks are throttled further before one is evicted",
            tasks: [task("a", 9, { processorShare: 0.5 }), task("b", 1, throttled)],
            expected: ["throttle a 0.25"],
        },
        {
            name: "the task that loses least work is evicted",
            tasks: [task("a", 9, throttled), task("b", 1, throttled)],
            expected: ["evict b 0"],
        },
        { name: "no candidates", tasks: [], expected: [] },
    ];
    for (const { name, tasks, expected, pressure } of cases) {
        const planner = EvictionPlanner.create({ overloadReports: 1, evictionPressure: 1.5 });
        const actions = planner.observe("w", pressure ?? 1.5, tasks, 0);
        t.strictSame(
            actions.map(({ kind, key, processorShare: share }) => `${kind} ${key} ${share}`),
            expected,
            name,
        );
    }
    t.end();
});

// Guards against alternating actions while the pressure fluctuates around the limit.
t.test("hysteresis and settling time", t => {
    const planner = EvictionPlanner.create({
        overloadReports: 2,
        recoveryReports: 2,
        settlingTimeMs: 10,
        evictionPressure: 1,
    });
    const kinds = [
        [0, 1.2],
        [1, 0.9],
        [2, 1.2],
        [3, 1.2],
        [4, 1.2],
        [13, 0.9],
        [14, 0.7],
        [15, 0.7],
    ].map(
        ([nowMs = 0, pressure = 0]) =>
            planner.observe("w", pressure, [task("a", 1, throttled)], nowMs)[0]?.kind,
    );
    t.strictSame(kinds, [...Array<undefined>(3), "evict", ...Array<undefined>(3), "unthrottle"]);
    t.end();
});

// Guards against preemption that evicts more tasks than the urgent task needs.
t.test("preemption for an urgent task", t => {
    const need = (processors: number): Resources => Resources.create({ processors });
    const large = task("large", 5, { resources: need(8) });
    const cases: { name: string; need: number; tasks: EvictionCandidate[]; keys: string[] }[] = [
        { name: "least lost work", need: 2, tasks: [task("a", 9), task("b", 1)], keys: ["b"] },
        {
            name: "earlier victims become unnecessary",
            need: 8,
            tasks: [task("a", 1), large],
            keys: ["large"],
        },
        { name: "the candidates do not suffice", need: 20, tasks: [task("a", 1), large], keys: [] },
    ];
    for (const { name, need: processors, tasks, keys } of cases) {
        const actions = EvictionPlanner.create().planPreemption(need(processors), tasks, 0);
        t.strictSame(
            actions.map(action => action.key),
            keys,
            name,
        );
    }
    t.end();
});

const report = fc.tuple(
    fc.integer({ min: 0, max: 5 }),
    fc.double({ min: 0.5, max: 1.5, noNaN: true }),
    fc.boolean(),
);

/** Largest number of evictions in any window of 100 ms, with a report every 7 ms. */
const maxEvictionsInAnyWindow = (
    reports: readonly [number, number, boolean][],
    maxEvictionsPerWindow: number,
): number => {
    const planner = EvictionPlanner.create({
        maxEvictionsPerWindow,
        urgentReservedEvictions: 1,
        windowMs: 100,
        settlingTimeMs: 5,
        overloadReports: 1,
        evictionPressure: 1,
    });
    const times = reports.flatMap(([worker, pressure, urgent], index) => {
        const tasks = [task(`k${index}`, 1, throttled), task(`l${index}`, 2, throttled)];
        const nowMs = index * 7;
        const actions = urgent
            ? planner.planPreemption(Resources.create({ processors: 3 }), tasks, nowMs)
            : planner.observe(`w${worker}`, pressure, tasks, nowMs);
        return actions.filter(action => action.kind === "evict").map(() => nowMs);
    });
    const counts = times.map(start => times.filter(time => time >= start && time < start + 100).length);
    return Math.max(0, ...counts);
};

// Guards against eviction storms, and against a property that cannot fail.
t.test("the eviction limit holds in every window, and the property detects a higher limit", t => {
    const holds = (maxEvictionsPerWindow: number) => (): void =>
        fc.assert(
            fc.property(
                fc.array(report, { maxLength: 80, size: "max" }),
                reports => maxEvictionsInAnyWindow(reports, maxEvictionsPerWindow) <= 4,
            ),
            { seed: 13, numRuns: 300 },
        );
    t.doesNotThrow(holds(4));
    t.throws(holds(6));
    t.end();
});
