import type { BenchLine } from "./bench-line.js";
import type { Bounds } from "./bounds.js";

/** Compares the lines of the interference-aware policy with the bounds; returns what is past them. */
export const checkBounds = (lines: readonly BenchLine[], bounds: Bounds): string[] =>
    lines
        .filter(({ policy }) => policy === "interference-aware")
        .flatMap(line => {
            const place = `${line.user}/${line.scenario}`;
            const evictionLimit = Math.max(
                bounds.evictionsAllowed[place] ?? 0,
                bounds.evictionsToLeastLoaded * line.evictionsOfLeastLoaded,
            );
            const problems: string[] = [];
            if (!(line.p99ToOracle <= bounds.p99ToOracle)) {
                problems.push(`${place}: p99 is ${line.p99ToOracle} times the oracle's`);
            }
            if (!(line.throughputToOracle >= bounds.throughputToOracle)) {
                problems.push(`${place}: throughput is ${line.throughputToOracle} of the oracle's`);
            }
            if (!(line.evictions <= evictionLimit)) {
                problems.push(`${place}: ${line.evictions} evictions exceed ${evictionLimit}`);
            }
            return problems;
        });
