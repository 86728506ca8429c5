import type { ResultCode } from "@samphireward/core/result-code";

/**
 * The outcome of one request, for metrics. Emitted once, when the response has been handed to the operating system.
 */
export interface RequestRecord {
    /** `undefined` when no route matched. */
    readonly route: string | undefined;
    readonly pool: string | undefined;
    readonly customer: string;
    readonly code: ResultCode;
    /** HTTP status sent to the caller; 499 if it disconnected before one was sent. */
    readonly status: number;
    /** Time from the request's headers to the end of the response. */
    readonly latencyMs: number;
    /** Number of times the request was sent to a target. */
    readonly attemptCount: number;
}
