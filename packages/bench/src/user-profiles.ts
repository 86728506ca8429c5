import type { SimClass } from "./sim-class.js";
import type { UserProfile } from "./user-profile.js";

const simClass = (
    name: string,
    kind: SimClass["kind"],
    processors: number,
    memoryMb: number,
    meanRunSeconds: number,
    batchDemandShare: number,
    interferenceFactor = 1,
): SimClass => ({
    name,
    kind,
    processors,
    memoryMb,
    meanRunSeconds,
    batchDemandShare,
    interferenceFactor,
});

/** The two users at their current sizes (design page, section 1), with the reservations of examples/. */
export const userProfiles: readonly UserProfile[] = [
    {
        name: "kloverknap",
        dataCentres: ["herning-a", "herning-b", "roskilde-a"],
        workerCount: 30,
        workersPerRack: 8,
        processors: 16,
        memoryMb: 60_000,
        meanRequestMs: 60,
        slotUtilization: 0.3,
        batchDemand: 0.6,
        classes: [
            simClass("render", "service", 4, 16_000, 0, 0),
            simClass("watch", "watch", 0.5, 500, 0, 0),
            simClass("cutting", "batch", 2, 4_000, 90, 0.5),
            simClass("nesting", "batch", 4, 8_000, 120, 0.25),
            simClass("archive", "batch", 1, 2_000, 40, 0.15),
            simClass("noisy", "batch", 2, 6_000, 60, 0.1, 2),
        ],
        watchCount: 20,
        toleratedSlowdown: 2,
        maxPlacementDelaySeconds: 300,
        weights: { tail: 0.2, throughput: 0.5, evictions: 0.3 },
    },
    {
        name: "agency",
        dataCentres: ["casa-ain", "casa-anfa", "mar-gueliz"],
        workerCount: 45,
        workersPerRack: 11,
        processors: 64,
        memoryMb: 250_000,
        meanRequestMs: 80,
        slotUtilization: 0.3,
        batchDemand: 0.6,
        classes: [
            simClass("pairing", "service", 16, 64_000, 0, 0),
            simClass("tracking", "watch", 1, 1_000, 0, 0),
            simClass("standings", "batch", 4, 8_000, 60, 0.5),
            simClass("simulation", "batch", 16, 32_000, 150, 0.25),
            simClass("archive", "batch", 2, 4_000, 40, 0.15),
            simClass("noisy", "batch", 8, 24_000, 60, 0.1, 2),
        ],
        watchCount: 40,
        toleratedSlowdown: 1.7,
        maxPlacementDelaySeconds: 600,
        weights: { tail: 0.7, throughput: 0.15, evictions: 0.15 },
    },
];
