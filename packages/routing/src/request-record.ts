import type { ResultCode } from "@samphireward/core/result-code";

/** What became of one request, for metrics. Written once, when the answer has been handed to the system. */
export interface RequestRecord {
    /** `undefined` when no route matched. */
    readonly route: string | undefined;
    readonly pool: string | undefined;
    readonly customer: string;
    readonly code: ResultCode;
    /** Status that the caller got; 499 when it left before. */
    readonly status: number;
    /** From the request's headers to the end of the answer, in milliseconds. */
    readonly latencyMs: number;
    /** How often the request was sent to a target. */
    readonly attempts: number;
}
