/** Limits of the platform's store (docs/PLATFORM.md). */
export const StoreLimits = {
    /** Longest value in bytes of UTF-8. */
    valueBytes: 1_048_576,
    /** Most entries in one answer to `list` or `watch`. */
    listEntries: 1000,
} as const;
