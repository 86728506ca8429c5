/** Limits of a cell's log. */
export const LogLimits = {
    /** Number of slots in the ring; position n is in slot n mod `ringSlots`. */
    ringSlots: 256,
    /** Fraction of the ring after which a snapshot is written; below 1, so that a failed snapshot can be retried. */
    snapshotRingFraction: 0.5,
    /** Number of records after which a failed snapshot is retried. */
    snapshotRetryRecords: 8,
    /** Bytes at which a record takes no further appends; a single append may be larger, up to `maxAppendBytes`. */
    maxRecordBytes: 262_144,
    /** Largest append in bytes, below the store's value limit. */
    maxAppendBytes: 1_000_000,
    /** Largest part of a snapshot in bytes, below the store's value limit. */
    maxSnapshotPartBytes: 1_000_000,
    /** Bounds of the queued appends that wait for a commit. */
    maxQueuedTransitions: 20_000,
    maxQueuedBytes: 8_000_000,
} as const;
