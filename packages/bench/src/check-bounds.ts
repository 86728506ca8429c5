import type { BenchLine } from "./bench-line.js";
import type { BoundViolation } from "./bound-violation.js";
import type { Bounds } from "./bounds.js";

/** Compares the lines of the interference-aware policy with the bounds, and returns the violations. */
export const checkBounds = (lines: readonly BenchLine[], bounds: Bounds): BoundViolation[] =>
    lines
        .filter(({ policy }) => policy === "interference-aware")
        .flatMap(line => {
            const prefix = `bench > ${line.user}/${line.scenario}`;
            const evictionLimit = bounds.evictionsToLeastLoaded * line.evictionsOfLeastLoaded;
            const violations: BoundViolation[] = [];
            if (!(line.p99ToOracle <= bounds.p99ToOracle)) {
                const message = `${line.p99ToOracle} times the oracle's, bound ${bounds.p99ToOracle}`;
                violations.push({ name: `${prefix} > p99`, message });
            }
            if (!(line.throughputToOracle >= bounds.throughputToOracle)) {
                const message = `${line.throughputToOracle} of the oracle's, bound ${bounds.throughputToOracle}`;
                violations.push({ name: `${prefix} > throughput`, message });
            }
            if (!(line.evictions <= evictionLimit)) {
                violations.push({
                    name: `${prefix} > evictions`,
                    message: `${line.evictions}, bound ${evictionLimit}`,
                });
            }
            return violations;
        });
