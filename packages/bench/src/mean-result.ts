import type { RunResult } from "./run-result.js";

/** Means over the runs of several seeds. */
export const meanResult = (results: readonly RunResult[]): RunResult => {
    const mean = (value: (result: RunResult) => number): number =>
        results.reduce((sum, result) => sum + value(result), 0) / results.length;
    return {
        p99Ms: mean(({ p99Ms }) => p99Ms),
        p999Ms: mean(({ p999Ms }) => p999Ms),
        throughput: mean(({ throughput }) => throughput),
        evictions: mean(({ evictions }) => evictions),
        urgentEvictions: mean(({ urgentEvictions }) => urgentEvictions),
        throttles: mean(({ throttles }) => throttles),
        longestWaitSeconds: mean(({ longestWaitSeconds }) => longestWaitSeconds),
        meanQueue: mean(({ meanQueue }) => meanQueue),
    };
};
