/** Bounds of the messages between peers. */
export const PeerLimits = {
    /** At 90 cells, 16 random owners (about 700 bytes) for each exchange reach everybody within seconds. */
    ownersPerMessage: 16,
    exchangeTimeoutMs: 1_500,
    claimTimeoutMs: 300,
} as const;
