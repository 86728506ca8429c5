/** What the owner knows about an attempt on a worker. Not durable. */
export const AttemptPhase = {
    /** The write-ahead record is durable; no command was sent. */
    ToStart: "to-start",
    StartSent: "start-sent",
    Live: "live",
    /** Granted by an earlier owner; the worker was not asked yet. */
    Inherited: "inherited",
    /** To be stopped; the worker did not confirm the stop yet. */
    Stopping: "stopping",
    /** The worker confirmed that it does not run; its outcomes are still to be read. */
    Stopped: "stopped",
    /** The transition that ends the attempt waits for the log. */
    Ended: "ended",
} as const;

export type AttemptPhase = (typeof AttemptPhase)[keyof typeof AttemptPhase];
