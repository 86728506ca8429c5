import type { OwnerTiming } from "./owner-timing.js";

/**
 * Time at which an attempt's lease has ended for certain, when the last start or renewal call settled at
 * `settledMs` and none is outstanding.
 */
export const leaseEndMs = (settledMs: number, timing: OwnerTiming): number =>
    settledMs + timing.deliveryMs + timing.leaseMs * (1 + timing.clockRateMargin) + timing.marginMs;
