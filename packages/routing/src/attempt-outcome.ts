/** How one attempt to get an answer from a target ended. */
export const AttemptOutcome = {
    /** No connection could be opened; nothing was sent. */
    NotConnected: "not-connected",
    /** The target answered that it did not run the request. */
    RefusedNotRun: "refused-not-run",
    /** The deadline passed. */
    DeadlinePassed: "late",
    /** The connection ended before the answer's headers. */
    ConnectionLost: "lost",
    /** The answer ended early, before any of it was passed on to the caller. */
    Truncated: "truncated",
    /** The answer ended early after a part of it was passed on to the caller. */
    TruncatedAfterForward: "truncated-after-forward",
    Malformed: "malformed",
    HeadersTooLarge: "headers-too-large",
} as const;

export type AttemptOutcome = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];
