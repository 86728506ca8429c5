import type { RunResult } from "./run-result.js";
import type { UserProfile } from "./user-profile.js";

/** Added to both numbers of evictions, so that one eviction more than none is not an infinite ratio. */
const EvictionOffset = 10;

/** Weighted mean of a policy's figures relative to the oracle's; 1 for the oracle, greater is better. */
export const score = (weights: UserProfile["weights"], result: RunResult, oracle: RunResult): number =>
    weights.tail * (oracle.p99Ms / result.p99Ms) +
    weights.throughput * (result.throughput / oracle.throughput) +
    weights.evictions * ((oracle.evictions + EvictionOffset) / (result.evictions + EvictionOffset));
