import type { DataCentrePlan } from "./data-centre-plan.js";

/** Size and settings of one user's deployment (docs/design.md, section 1). */
export interface UserPlan {
    /** User's name, which is also the name of the directory with its tables under examples/. */
    readonly user: string;
    readonly service: string;
    readonly dataCentres: readonly DataCentrePlan[];
    readonly processors: number;
    readonly memoryMb: number;
    readonly workersPerRack: number;
    readonly entryVms: number;
    /** Store addresses by region, for tests that forward the store connections of a region. */
    readonly storeAddressByRegion?: Readonly<Record<string, string>>;
    /** Weights of the placement objectives (docs/placement.md). */
    readonly placement: {
        readonly tailLatency: number;
        readonly batch: number;
        readonly load: number;
        readonly toleratedSlowdown: number;
    };
}
