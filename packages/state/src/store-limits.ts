/** Limits of the platform's store (docs/PLATFORM.md). */
export const StoreLimits = {
    /** Longest value in bytes of UTF-8. */
    maxValueBytes: 1_048_576,
    /** Most entries in one response to `list` or `watch`. */
    maxListEntries: 1000,
} as const;
