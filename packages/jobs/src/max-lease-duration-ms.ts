/** A worker's clock may run slower than this process's clock by up to this factor. */
const MaxClockRateRatio = 1.03;
/** Allowance for the transmission of the order and the clock reading. */
const LeaseMarginMs = 250;

/** Longest time, by this process's clock, for which a worker may consider a lease valid after it was sent. */
export const maxLeaseDurationMs = (leaseMs: number): number => leaseMs * MaxClockRateRatio + LeaseMarginMs;
