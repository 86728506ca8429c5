import type { OwnerTiming } from "./owner-timing.js";

/** Default time constants (docs/design.md, sections 5.3 and 6). */
export const defaultOwnerTiming: OwnerTiming = {
    leaseMs: 6000,
    renewIntervalMs: 2000,
    clockRateMargin: 0.1,
    marginMs: 500,
    deliveryMs: 1000,
    outcomeIntervalMs: 1000,
    usageIntervalMs: 2000,
    retryDelayMs: 500,
    submissionTimeoutMs: 2000,
    placementIntervalMs: 1000,
};
