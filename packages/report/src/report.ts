import type { PoolReport } from "./pool-report.js";
import type { RouteReport } from "./route-report.js";

/** Service levels of all routes and pools. `--json` prints this object. */
export interface Report {
    readonly processes: readonly string[];
    /** Sources that could not be read; their data is not in the report. */
    readonly missing: readonly { readonly source: string; readonly message: string }[];
    readonly startMs: number;
    readonly endMs: number;
    readonly spreadMs: number;
    readonly routes: readonly RouteReport[];
    readonly pools: readonly PoolReport[];
}
