import { LatencyRecorder } from "@samphireward/core/latency-recorder";
import type { RouteBucket } from "./route-bucket.js";
import type { WindowBurnRate } from "./window-burn-rate.js";

interface Objective {
    readonly latencyMs: number;
    readonly ratio: number;
}

/** Buckets of one route over all processes, sorted by start time. */
export class RouteSeries {
    private constructor(
        readonly route: string,
        readonly objective: Objective,
        private readonly buckets: readonly RouteBucket[],
    ) {}

    static create(route: string, objective: Objective, buckets: readonly RouteBucket[]): RouteSeries {
        return new RouteSeries(
            route,
            objective,
            [...buckets].sort((a, b) => a.startMs - b.startMs),
        );
    }

    /** Start of the first bucket; `undefined` if there are none. */
    get startMs(): number | undefined {
        return this.buckets[0]?.startMs;
    }

    /** Burn rate over the window that ends at `endMs`. `dataStartMs` is the start of the first bucket of all routes. */
    burnRateOver(endMs: number, windowMs: number, dataStartMs: number): WindowBurnRate {
        const inWindow = this.bucketsBetween(endMs - windowMs, endMs);
        const good = inWindow.reduce((sum, bucket) => sum + bucket.good, 0);
        const bad = inWindow.reduce((sum, bucket) => sum + bucket.bad, 0);
        const errorRatio = good + bad === 0 ? undefined : bad / (good + bad);
        return {
            windowMs,
            coveredMs: Math.max(0, Math.min(windowMs, endMs - dataStartMs)),
            good,
            bad,
            burnRate: errorRatio === undefined ? undefined : errorRatio / (1 - this.objective.ratio),
        };
    }

    /** Merges the latencies of all buckets that start in [`fromMs`, `toMs`). */
    latencyBetween(fromMs: number, toMs: number): LatencyRecorder {
        const merged = LatencyRecorder.create();
        for (const bucket of this.bucketsBetween(fromMs, toMs)) {
            merged.merge(bucket.latency);
        }
        return merged;
    }

    private bucketsBetween(fromMs: number, toMs: number): readonly RouteBucket[] {
        return this.buckets.filter(({ startMs }) => startMs >= fromMs && startMs < toMs);
    }
}
