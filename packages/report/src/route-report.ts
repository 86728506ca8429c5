import type { LatencySummary } from "./latency-summary.js";
import type { WindowBurnRate } from "./window-burn-rate.js";

/** One route: burn rates over the windows, rules that fire, and latencies over the last hour. */
export interface RouteReport {
    readonly route: string;
    readonly objective: { readonly latencyMs: number; readonly ratio: number };
    /** Over 5 minutes, 30 minutes and 1 hour. */
    readonly windows: readonly WindowBurnRate[];
    readonly rules: readonly {
        readonly name: string;
        readonly threshold: number;
        readonly firing: boolean;
    }[];
    readonly latency: LatencySummary;
}
