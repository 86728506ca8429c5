import type { RandomSource } from "@samphireward/core/random-source";

const BaseMs = 5;
const LongestMs = 200;

/** Exponential backoff with full jitter: a uniform time between 0 and the bound. `retry` counts from 1. */
export const backoffDelay = (retry: number, random: RandomSource): number =>
    random.next() * Math.min(LongestMs, BaseMs * 2 ** retry);
