import type { RunResult } from "./run-result.js";

/** One line of the benchmark's output: means over the seeds, and their ratios to the means of other policies. */
export interface BenchLine extends RunResult {
    readonly user: string;
    readonly scenario: string;
    readonly policy: string;
    readonly seeds: readonly number[];
    /** Weighted by the user's priorities; 1 for the oracle, greater is better. */
    readonly score: number;
    readonly p99ToOracle: number;
    readonly throughputToOracle: number;
    readonly p99ToLeastLoaded: number;
    readonly throughputToLeastLoaded: number;
    readonly evictionsOfLeastLoaded: number;
}
