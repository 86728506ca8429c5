/** Times in milliseconds and slots of each worker that the tests of the slot allocator use. */
export const allocatorLimits = { ttlMs: 6_000, marginMs: 1_100, slotsPerWorker: 8 } as const;
