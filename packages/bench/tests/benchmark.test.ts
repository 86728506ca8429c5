import { readFileSync } from "node:fs";
import { join } from "node:path";
import t from "tap";
import type { BenchLine } from "../src/bench-line.js";
import type { Bounds } from "../src/bounds.js";
import { checkBounds } from "../src/check-bounds.js";
import { scenarios } from "../src/scenarios.js";
import { Simulation } from "../src/simulation.js";
import { userProfiles } from "../src/user-profiles.js";

const bounds = JSON.parse(readFileSync(join(import.meta.dirname, "../../bounds.json"), "utf8")) as Bounds;

const benchLine = (more: Partial<BenchLine>): BenchLine => ({
    user: "agency",
    scenario: "steady",
    policy: "interference-aware",
    seeds: [1],
    p99Ms: 100,
    p999Ms: 200,
    throughput: 100,
    evictions: 0,
    urgentEvictions: 0,
    throttles: 0,
    longestWaitSeconds: 0,
    meanQueue: 0,
    score: 1,
    p99ToOracle: 1,
    throughputToOracle: 1,
    p99ToLeastLoaded: 1,
    throughputToLeastLoaded: 1,
    evictionsOfLeastLoaded: 0,
    ...more,
});

// Guards against a check of the bounds that passes for any results.
t.test("results are compared with the bounds", t => {
    const cases: { name: string; change: Partial<BenchLine>; violations: number }[] = [
        { name: "within", change: {}, violations: 0 },
        { name: "p99", change: { p99ToOracle: 1.16 }, violations: 1 },
        { name: "throughput", change: { throughputToOracle: 0.89 }, violations: 1 },
        {
            name: "results that are not numbers",
            change: { p99ToOracle: NaN, throughputToOracle: NaN },
            violations: 2,
        },
        {
            name: "half of the evictions",
            change: { evictions: 5, evictionsOfLeastLoaded: 10 },
            violations: 0,
        },
        { name: "more than half", change: { evictions: 6, evictionsOfLeastLoaded: 10 }, violations: 1 },
        { name: "evictions where the baseline has none", change: { evictions: 0.33 }, violations: 1 },
        { name: "all three", change: { p99ToOracle: 2, throughputToOracle: 0, evictions: 1 }, violations: 3 },
        { name: "another policy", change: { policy: "first-fit", p99ToOracle: 9 }, violations: 0 },
    ];
    for (const { name, change, violations } of cases) {
        t.equal(checkBounds([benchLine(change)], bounds).length, violations, name);
    }
    t.end();
});

// Guards against results that cannot be reproduced, and against seeds or policies without effect.
t.test("a run is reproducible with its seed", t => {
    const [profile] = userProfiles;
    const [scenario] = scenarios;
    if (profile === undefined || scenario === undefined) {
        throw new Error("no user profile or scenario");
    }
    const run = (policy: string, seed: number): unknown => Simulation.run(profile, scenario, policy, seed);
    const first = run("interference-aware", 1);
    t.strictSame(run("interference-aware", 1), first);
    t.notSame(run("interference-aware", 2), first);
    t.notSame(run("least-loaded", 1), first);
    t.end();
});
