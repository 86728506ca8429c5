/** What a caller got for one request. */
export interface CallerResult {
    readonly id: string;
    readonly idempotent: boolean;
    /** Numbered code of the answer; 0 when the connection to the entry process failed. */
    readonly code: number;
    /** Whether the answer was complete and the caller's own. */
    readonly whole: boolean;
    /** Whether any byte of the request left the caller. */
    readonly sent: boolean;
    readonly latencyMs: number;
    /** Callers' address of the entry process; empty when there was none. */
    readonly entry: string;
    /** When the request was made, by the harness's monotonic clock. */
    readonly startMs: number;
}
