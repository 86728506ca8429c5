import type { Scenario } from "./scenario.js";

const steady: Scenario = {
    name: "steady",
    reportLagSeconds: 2,
    requestRateFactor: 1,
    redrawsEffects: false,
    noisyDemandFactor: 1,
    maxSizeErrorFactor: 1,
    cancelledShare: 0,
    lostFailureDomain: "nothing",
    eventStartShare: 0.4,
    eventEndShare: 0.75,
};

/** The benchmark's scenarios. */
export const scenarios: readonly Scenario[] = [
    steady,
    { ...steady, name: "load-shift", requestRateFactor: 1.6 },
    { ...steady, name: "pair-shift", redrawsEffects: true },
    { ...steady, name: "noisy-wave", noisyDemandFactor: 5 },
    { ...steady, name: "wrong-sizes", maxSizeErrorFactor: 4 },
    { ...steady, name: "cancel-wave", cancelledShare: 0.6 },
    { ...steady, name: "lag-5s", reportLagSeconds: 5 },
    { ...steady, name: "lag-30s", reportLagSeconds: 30 },
    { ...steady, name: "rack-lost", lostFailureDomain: "rack" },
    { ...steady, name: "data-centre-lost", lostFailureDomain: "data-centre" },
];
