/** Faults that are injected around an owner to test the checker. */
export const Mutant = {
    None: "none",
    /** Every owner uses the same epoch, and the log accepts all of them. */
    NoEpochFencing: "no-epoch-fencing",
    /** A task counts as ended as soon as its worker does not answer. */
    EarlyReassign: "early-reassign",
    AcknowledgeBeforeCommit: "acknowledge-before-commit",
    /** The log confirms before it has written. */
    NoWriteAhead: "no-write-ahead",
    /** A stop counts as confirmed when it is sent. */
    ReleaseBeforeStop: "release-before-stop",
    /** Losses are not written to the log, so that the next owner does not know them. */
    NoDurableLosses: "no-durable-losses",
    /** The directory never lists a changed capacity. */
    StaleCapacity: "stale-capacity",
    /** A worker that was cut off looks as if it had restarted. */
    CutLooksLikeCrash: "cut-looks-like-crash",
} as const;

export type Mutant = (typeof Mutant)[keyof typeof Mutant];
