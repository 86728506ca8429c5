/** How the owner learned that a run has ended; logged with each end. */
export const EndReason = {
    /** The worker listed the end. */
    Listed: "listed",
    /** The worker did not answer until its lease was over. */
    LeaseOver: "lease-over",
    /** Another incarnation of the worker replaced the one that had the run. */
    Restarted: "restarted",
    /** A listing of the worker shows neither the run nor its end. */
    Missing: "missing",
} as const;

export type EndReason = (typeof EndReason)[keyof typeof EndReason];
