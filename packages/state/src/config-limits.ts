/** Constants of the configuration feed. */
export const ConfigLimits = {
    key: "config/current",
    /** Interval between reads, which find a change when the watch fails without an error. */
    readIntervalMs: 5000,
    /** Longest wait of one watch. */
    maxWatchWaitMs: 10_000,
    /** Delay after a failed watch. */
    retryDelayMs: 500,
    /** Earlier changes stored with the document. */
    maxStoredChanges: 32,
    /** Changes kept in memory by each process. */
    maxRememberedChanges: 256,
    /** Attempts to store one proposal. */
    maxProposalAttempts: 5,
} as const;
