/** Phase of an attempt on a worker, as far as the owner knows. Not durable. */
export const AttemptPhase = {
    /** The write-ahead record is durable; no command was sent. */
    ToStart: "to-start",
    StartSent: "start-sent",
    Live: "live",
    /** Started by an earlier owner; this owner has not asked the worker about it yet. */
    Inherited: "inherited",
    /** A stop is required; the worker has not confirmed it yet. */
    Stopping: "stopping",
    /** The worker has confirmed that the attempt does not run; its outcomes have not been read yet. */
    Stopped: "stopped",
    /** The transition that ends the attempt is queued for the log. */
    Ended: "ended",
} as const;

export type AttemptPhase = (typeof AttemptPhase)[keyof typeof AttemptPhase];
