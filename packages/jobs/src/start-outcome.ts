/** What became of a start order. */
export const StartOutcome = {
    Started: "started",
    /** The worker did not start it and will not: it is busy, unhealthy or has no room. */
    Refused: "refused",
    /** The worker has seen this run number or a higher one. */
    RunNumberUsed: "number-used",
    /** The worker did not accept the ticket. */
    NoPermit: "no-permit",
    /** The order is not acceptable to the worker in any life. */
    Invalid: "invalid",
    /** The worker has seen a higher fencing token. */
    Fenced: "fenced",
    /** Another life of the worker answered. */
    OtherIncarnation: "other-life",
    /** No answer: it may have started, or may still start. */
    Unknown: "unknown",
} as const;

export type StartOutcome = (typeof StartOutcome)[keyof typeof StartOutcome];
