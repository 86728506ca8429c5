import type { Scenario } from "./scenario.js";

const steady: Scenario = {
    name: "steady",
    lagSeconds: 2,
    loadFactor: 1,
    shiftsPairs: false,
    noisyFactor: 1,
    sizeError: 1,
    cancelledShare: 0,
    lost: "nothing",
    startShare: 0.4,
    endShare: 0.75,
};

/** The benchmark's scenarios. */
export const scenarios: readonly Scenario[] = [
    steady,
    { ...steady, name: "load-shift", loadFactor: 1.6 },
    { ...steady, name: "pair-shift", shiftsPairs: true },
    { ...steady, name: "noisy-wave", noisyFactor: 5 },
    { ...steady, name: "wrong-sizes", sizeError: 4 },
    { ...steady, name: "cancel-wave", cancelledShare: 0.6 },
    { ...steady, name: "lag-5s", lagSeconds: 5 },
    { ...steady, name: "lag-30s", lagSeconds: 30 },
    { ...steady, name: "rack-lost", lost: "rack" },
    { ...steady, name: "data-centre-lost", lost: "data-centre" },
];
