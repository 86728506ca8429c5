/** Headers of the protocol between callers, this system and targets, in lower case. */
export const HeaderName = {
    Code: "samphireward-code",
    Customer: "samphireward-customer",
    /** Milliseconds that are left until the deadline. A caller may shorten the route's deadline with it. */
    DeadlineMs: "samphireward-deadline-ms",
    IdempotencyKey: "idempotency-key",
    /** `1` in the answer of a target that did not run the request. */
    NotRun: "samphireward-not-run",
    /** `1` in the answer of a target that is leaving. */
    Leaving: "samphireward-leaving",
    /** Sent with each request; an answer that carries another one belongs to another request. */
    RequestId: "samphireward-request-id",
} as const;

export type HeaderName = (typeof HeaderName)[keyof typeof HeaderName];
