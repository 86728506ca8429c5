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

const line = (more: Partial<BenchLine>): BenchLine => ({
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

// Guards against a check that passes whatever the figures are.
t.test("bounds", t => {
    const cases: { name: string; change: Partial<BenchLine>; problems: number }[] = [
        { name: "within", change: {}, problems: 0 },
        { name: "p99", change: { p99ToOracle: 1.16 }, problems: 1 },
        { name: "throughput", change: { throughputToOracle: 0.89 }, problems: 1 },
        { name: "no figure", change: { p99ToOracle: NaN, throughputToOracle: NaN }, problems: 2 },
        { name: "half of the evictions", change: { evictions: 5, evictionsOfLeastLoaded: 10 }, problems: 0 },
        { name: "more than half", change: { evictions: 6, evictionsOfLeastLoaded: 10 }, problems: 1 },
        { name: "one where the baseline has none", change: { evictions: 0.33 }, problems: 1 },
        { name: "all three", change: { p99ToOracle: 2, throughputToOracle: 0, evictions: 1 }, problems: 3 },
        { name: "another policy", change: { policy: "first-fit", p99ToOracle: 9 }, problems: 0 },
    ];
    for (const { name, change, problems } of cases) {
        t.equal(checkBounds([line(change)], bounds).length, problems, name);
    }
    t.end();
});

// Guards against figures that cannot be repeated, and against seeds or policies that change nothing.
t.test("a run repeats with its seed", t => {
    const [profile] = userProfiles;
    const [scenario] = scenarios;
    if (profile === undefined || scenario === undefined) {
        throw new Error("There is no user or scenario");
    }
    const run = (policy: string, seed: number): unknown => Simulation.run(profile, scenario, policy, seed);
    const first = run("interference-aware", 1);
    t.strictSame(run("interference-aware", 1), first);
    t.notSame(run("interference-aware", 2), first);
    t.notSame(run("least-loaded", 1), first);
    t.end();
});
