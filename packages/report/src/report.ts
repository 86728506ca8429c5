import type { PoolReport } from "./pool-report.js";
import type { RouteReport } from "./route-report.js";

/** Service levels of all routes and pools, as `--json` prints them. */
export interface Report {
    readonly processes: readonly string[];
    /** Sources that could not be read; the report lacks their requests. */
    readonly missing: readonly { readonly source: string; readonly message: string }[];
    readonly startMs: number;
    readonly endMs: number;
    readonly spreadMs: number;
    readonly routes: readonly RouteReport[];
    readonly pools: readonly PoolReport[];
}
