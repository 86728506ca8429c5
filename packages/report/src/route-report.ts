import type { LatencySummary } from "./latency-summary.js";
import type { WindowBurnRate } from "./window-burn-rate.js";

/** Report of one route: burn rates over the windows, alert rules, and latencies over the last hour. */
export interface RouteReport {
    readonly route: string;
    readonly objective: { readonly latencyMs: number; readonly ratio: number };
    /** Burn rates over 5 minutes, 30 minutes and 1 hour, in this order. */
    readonly windows: readonly WindowBurnRate[];
    readonly rules: readonly {
        readonly name: string;
        readonly threshold: number;
        readonly firing: boolean;
    }[];
    readonly latency: LatencySummary;
}
