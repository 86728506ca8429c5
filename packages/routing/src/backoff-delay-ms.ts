import type { RandomSource } from "@samphireward/core/random-source";

const BaseDelayMs = 5;
const MaxDelayMs = 200;

/** Exponential backoff with full jitter: uniform between 0 and the current bound. `retry` counts from 1. */
export const backoffDelayMs = (retry: number, random: RandomSource): number =>
    random.next() * Math.min(MaxDelayMs, BaseDelayMs * 2 ** retry);
