import type { RunResult } from "./run-result.js";
import type { UserProfile } from "./user-profile.js";

/** Added to both numbers of evictions, so that the ratio stays finite without any evictions. */
const EvictionOffset = 10;

/** Weighted mean of a policy's results relative to those of the oracle; 1 for the oracle, greater is better. */
export const score = (weights: UserProfile["weights"], result: RunResult, oracle: RunResult): number =>
    weights.tail * (oracle.p99Ms / result.p99Ms) +
    weights.throughput * (result.throughput / oracle.throughput) +
    weights.evictions * ((oracle.evictions + EvictionOffset) / (result.evictions + EvictionOffset));
