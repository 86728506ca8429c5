/** A worker's clock may run this much slower than ours. */
const MaxClockRateRatio = 1.03;
/** Added to each lease for the way of the order and the reading of the clock, in milliseconds. */
const LeaseMarginMs = 250;

/** Longest time in milliseconds, by our clock, that a lease lives on a worker after it was ordered. */
export const maxLeaseDurationMs = (leaseMs: number): number => leaseMs * MaxClockRateRatio + LeaseMarginMs;
