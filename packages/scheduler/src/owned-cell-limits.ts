/** Time constants and bounds of a cell's owner (docs/design.md, sections 5 to 7). */
export const OwnedCellLimits = {
    /**
     * Longer than a takeover takes (lease 4 s, delay 1 s, replay and reconnection 2 s), so that requests
     * continue during it.
     */
    shareTtlMs: 8_000,
    /** Margin for clocks that run at different rates: 10% of the TTL and 0.5 s. */
    shareMarginMs: 1_300,
    workerCallTimeoutMs: 2_000,
    socketsPerWorker: 4,
} as const;
