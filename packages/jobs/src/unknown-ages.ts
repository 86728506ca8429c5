/** Time for which a task may have run, in milliseconds, when a worker was lost of which no more is known. */
export const unknownAges = { minAgeMs: 0, maxAgeMs: 3_000 } as const;
