import type { SimClass } from "./sim-class.js";

/** A user's fleet, work and priorities in the benchmark. */
export interface UserProfile {
    readonly name: string;
    readonly dataCentres: readonly string[];
    readonly workerCount: number;
    readonly workersPerRack: number;
    readonly processors: number;
    readonly memoryMb: number;
    /** Mean time of a request on an undisturbed worker, in milliseconds. */
    readonly meanRequestMs: number;
    /** Share of the slots in use on undisturbed workers. */
    readonly slotUtilization: number;
    /** Demand of batch work as a share of the processors that the service leaves free. */
    readonly batchDemand: number;
    /** First the service, then the watches, then batch classes. */
    readonly classes: readonly SimClass[];
    readonly watchCount: number;
    /** When a batch task waits although a worker has room, and for how long at most. */
    readonly toleratedSlowdown: number;
    readonly maxPlacementDelaySeconds: number;
    /** Weights of the score; they sum to 1. */
    readonly weights: { readonly tail: number; readonly throughput: number; readonly evictions: number };
}
