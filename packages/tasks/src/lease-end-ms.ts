import type { OwnerTiming } from "./owner-timing.js";

/**
 * Returns the time at which an attempt's lease has definitely ended, if the last start or renewal call
 * settled at `settledMs` and none is pending.
 */
export const leaseEndMs = (settledMs: number, timing: OwnerTiming): number =>
    settledMs + timing.deliveryMs + timing.leaseMs * (1 + timing.clockRateMargin) + timing.marginMs;
