/** Outcome of a request to store a tombstone. */
export const TombstoneOutcome = {
    /** The tombstone is durable: no submission that is on its way will be accepted. */
    Stored: "stored",
    /** The job has been stored meanwhile. */
    JobExists: "job-exists",
    /** The store did not confirm the write. */
    Unavailable: "unavailable",
    /** This process has stored as many tombstones as it may. */
    LimitReached: "limit-reached",
} as const;

export type TombstoneOutcome = (typeof TombstoneOutcome)[keyof typeof TombstoneOutcome];
