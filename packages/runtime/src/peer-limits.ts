/** Size limits and timeouts of the messages between peers. */
export const PeerLimits = {
    /** With 90 cells, 16 random owners (about 700 bytes) per exchange reach all processes within seconds. */
    maxOwnersPerMessage: 16,
    exchangeTimeoutMs: 1_500,
    claimTimeoutMs: 300,
} as const;
