/** Lifetimes of grants and slots per worker in the tests of the slot allocator. */
export const allocatorLimits = { ttlMs: 6_000, marginMs: 1_100, slotsPerWorker: 8 } as const;
