import type { UserPlan } from "./user-plan.js";

/** Both users at their sizes of today. */
export const userPlans = {
    kloverknap: {
        user: "kloverknap",
        service: "ordrestue",
        zones: [
            { dataCentre: "herning-a", region: "jylland", workers: 10 },
            { dataCentre: "herning-b", region: "jylland", workers: 10 },
            { dataCentre: "roskilde-a", region: "sjaelland", workers: 10 },
        ],
        processors: 16,
        memoryMb: 60_000,
        workersPerRack: 8,
        entryVms: 6,
        placement: { tailLatency: 0.2, batch: 0.5, load: 0.1, toleratedSlowdown: 2 },
    },
    agency: {
        user: "agency",
        service: "pairing-desk",
        zones: [
            { dataCentre: "casa-ain", region: "casablanca", workers: 15 },
            { dataCentre: "casa-anfa", region: "casablanca", workers: 15 },
            { dataCentre: "mar-gueliz", region: "marrakech", workers: 15 },
        ],
        processors: 64,
        memoryMb: 250_000,
        workersPerRack: 11,
        entryVms: 6,
        placement: { tailLatency: 0.7, batch: 0.15, load: 0.1, toleratedSlowdown: 1.7 },
    },
} as const satisfies Record<string, UserPlan>;
