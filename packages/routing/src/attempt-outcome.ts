/** How an attempt to get a response from a target failed. */
export const AttemptOutcome = {
    /** No connection could be opened; nothing was sent. */
    NotConnected: "not-connected",
    /** The target responded that it did not run the request. */
    RefusedNotRun: "refused-not-run",
    /** The deadline passed. */
    DeadlinePassed: "late",
    /** The connection closed before the response headers arrived. */
    ConnectionLost: "lost",
    /** The response ended early, before any of it was forwarded to the caller. */
    Truncated: "truncated",
    /** The response ended early, after part of it was forwarded to the caller. */
    TruncatedAfterForward: "truncated-after-forward",
    Malformed: "malformed",
    HeadersTooLarge: "headers-too-large",
} as const;

export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];
