/** Headers exchanged between callers, this system and targets, in lower case. */
export const HeaderName = {
    Code: "samphireward-code",
    Customer: "samphireward-customer",
    /** Milliseconds remaining until the deadline. A caller may use it to shorten the route's deadline. */
    DeadlineMs: "samphireward-deadline-ms",
    IdempotencyKey: "idempotency-key",
    /** `1` in the response of a target that did not run the request. */
    NotRun: "samphireward-not-run",
    /** `1` in the response of a target that is leaving. */
    Leaving: "samphireward-leaving",
    /** Sent with each request; a response with a different id belongs to another request. */
    RequestId: "samphireward-request-id",
} as const;

export type HeaderName = (typeof HeaderName)[keyof typeof HeaderName];
