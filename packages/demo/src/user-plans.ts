import type { UserPlan } from "./user-plan.js";

/** Plans of both users at their current sizes. */
export const userPlans = {
    kloverknap: {
        user: "kloverknap",
        service: "ordrestue",
        dataCentres: [
            { name: "herning-a", region: "jylland", workerCount: 10 },
            { name: "herning-b", region: "jylland", workerCount: 10 },
            { name: "roskilde-a", region: "sjaelland", workerCount: 10 },
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
        dataCentres: [
            { name: "casa-ain", region: "casablanca", workerCount: 15 },
            { name: "casa-anfa", region: "casablanca", workerCount: 15 },
            { name: "mar-gueliz", region: "marrakech", workerCount: 15 },
        ],
        processors: 64,
        memoryMb: 250_000,
        workersPerRack: 11,
        entryVms: 6,
        placement: { tailLatency: 0.7, batch: 0.15, load: 0.1, toleratedSlowdown: 1.7 },
    },
} as const satisfies Record<string, UserPlan>;
