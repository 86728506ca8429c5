/** Outcome of a start order. */
export const StartOutcome = {
    Started: "started",
    /** The worker did not start the run and will not: it is busy, unhealthy or out of capacity. */
    Refused: "refused",
    /** The worker has already seen this run number or a higher one. */
    RunNumberUsed: "number-used",
    /** The worker rejected the permit ticket. */
    NoPermit: "no-permit",
    /** The order is malformed; no incarnation of the worker would accept it. */
    Invalid: "invalid",
    /** The worker has seen a higher fencing token. */
    Fenced: "fenced",
    /** Another incarnation of the worker answered. */
    OtherIncarnation: "other-life",
    /** No response: the run may have started or may still start. */
    Unknown: "unknown",
} as const;

export type StartOutcome = (typeof StartOutcome)[keyof typeof StartOutcome];
