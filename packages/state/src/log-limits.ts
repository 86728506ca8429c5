/** Sizes of a cell's log. */
export const LogLimits = {
    /** Slots of the ring; position n is in slot n mod this. */
    ringSlots: 256,
    /** Part of the ring after which a snapshot is written, so that a failed one can be repeated. */
    snapshotShare: 0.5,
    /** Records after which a failed snapshot is tried again. */
    snapshotRetry: 8,
    /** Largest record in bytes, except that one append always fits when it is at most `appendBytes`. */
    recordBytes: 262_144,
    /** Largest append in bytes, below the store's value limit. */
    appendBytes: 1_000_000,
    /** Largest part of a snapshot in bytes, below the store's value limit. */
    snapshotPartBytes: 1_000_000,
    /** Appends that wait for the store. */
    queueTransitions: 20_000,
    queueBytes: 8_000_000,
} as const;
