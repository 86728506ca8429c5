import type { BenchLine } from "./bench-line.js";
import { benchPolicies } from "./bench-policies.js";
import { meanResult } from "./mean-result.js";
import type { RunResult } from "./run-result.js";
import type { Scenario } from "./scenario.js";
import { score } from "./score.js";
import { Simulation } from "./simulation.js";
import type { UserProfile } from "./user-profile.js";

const rounded = (value: number): number => Number(value.toPrecision(4));

const resultOf = (results: ReadonlyMap<string, RunResult>, policy: string): RunResult => {
    const result = results.get(policy);
    if (result === undefined) {
        throw new RangeError(`no result for policy "${policy}"`);
    }
    return result;
};

/** Runs a scenario of a user with every policy. */
export const runScenario = (
    profile: UserProfile,
    scenario: Scenario,
    seeds: readonly number[],
): BenchLine[] => {
    const results = new Map<string, RunResult>();
    for (const policy of Object.keys(benchPolicies)) {
        results.set(policy, meanResult(seeds.map(seed => Simulation.run(profile, scenario, policy, seed))));
    }
    const oracle = resultOf(results, "oracle");
    const leastLoaded = resultOf(results, "least-loaded");
    return [...results].map(([policy, result]) => ({
        user: profile.name,
        scenario: scenario.name,
        policy,
        seeds,
        p99Ms: rounded(result.p99Ms),
        p999Ms: rounded(result.p999Ms),
        throughput: rounded(result.throughput),
        evictions: rounded(result.evictions),
        urgentEvictions: rounded(result.urgentEvictions),
        throttles: rounded(result.throttles),
        longestWaitSeconds: rounded(result.longestWaitSeconds),
        meanQueue: rounded(result.meanQueue),
        score: rounded(score(profile.weights, result, oracle)),
        p99ToOracle: rounded(result.p99Ms / oracle.p99Ms),
        throughputToOracle: rounded(result.throughput / oracle.throughput),
        p99ToLeastLoaded: rounded(result.p99Ms / leastLoaded.p99Ms),
        throughputToLeastLoaded: rounded(result.throughput / leastLoaded.throughput),
        evictionsOfLeastLoaded: rounded(leastLoaded.evictions),
    }));
};
