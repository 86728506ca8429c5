/** Constants of the configuration feed. */
export const ConfigLimits = {
    key: "config/current",
    /** Period of the plain reads, which find a change when the watch fails silently. */
    readEveryMs: 5000,
    /** Longest wait of one watch. */
    watchMs: 10_000,
    /** Pause after a failed watch or read. */
    retryMs: 500,
    /** Earlier changes that are stored with the document, and changes that a process remembers. */
    storedHistory: 32,
    seenHistory: 256,
    /** Tries of one proposal whose answer is lost. */
    proposalTries: 5,
} as const;
