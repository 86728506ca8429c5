/** Limits of the tombstones that callers cause by cancelling jobs that are not stored. */
export const tombstoneLimits = {
    /**
     * Time for which a tombstone is kept, in milliseconds. A submission is on its way for at most 60 s until its deadline,
     * 2.5 s at another process that stores it, 12 s until the store carries out an unanswered write, and as long as a
     * call to the store takes to fail; the rest covers clocks that differ.
     */
    retentionMs: 150_000,
    /** Interval at which the owner of a cell removes those that are older, in milliseconds. */
    cleanupIntervalMs: 30_000,
    /** Maximum number that one process stores within `retentionMs` and `cleanupIntervalMs`. */
    perProcess: 100,
    /** Time after which a repeated cancellation writes its tombstone again, in milliseconds. */
    rewriteAfterMs: 10_000,
} as const;
