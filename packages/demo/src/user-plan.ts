import type { WorkerPlan } from "./worker-plan.js";

/** One user's deployment at today's size (docs/design.md, section 1). */
export interface UserPlan {
    /** Name of the folder with the tables under examples/. */
    readonly user: string;
    readonly service: string;
    readonly zones: readonly WorkerPlan[];
    readonly processors: number;
    readonly memoryMb: number;
    readonly workersPerRack: number;
    readonly entryVms: number;
    /** Addresses at which the processes of a region reach the store, where a test forwards their connections. */
    readonly storeOfRegion?: Readonly<Record<string, string>>;
    /** Weights of the measures (docs/placement.md). */
    readonly placement: {
        readonly tailLatency: number;
        readonly batch: number;
        readonly load: number;
        readonly toleratedSlowdown: number;
    };
}
