/** Result of one request as its caller saw it. */
export interface CallerResult {
    readonly id: string;
    readonly idempotent: boolean;
    /** Result code of the response; 0 if the connection to the entry process failed. */
    readonly code: number;
    /** Whether the response body was complete and belongs to this request. */
    readonly hasExpectedBody: boolean;
    /** Whether the request may have been sent, in whole or in part. */
    readonly wasSent: boolean;
    readonly latencyMs: number;
    /** Callers' address of the entry process; empty if none was available. */
    readonly entry: string;
    /** Time of the request by the monotonic clock of this process. */
    readonly startMs: number;
}
