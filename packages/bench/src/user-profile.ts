import type { SimClass } from "./sim-class.js";

/** Fleet, workload and priorities of a user in the benchmark. */
export interface UserProfile {
    readonly name: string;
    readonly dataCentres: readonly string[];
    readonly workerCount: number;
    readonly workersPerRack: number;
    readonly processors: number;
    readonly memoryMb: number;
    /** Mean time of a request on a worker without interference, in milliseconds. */
    readonly meanRequestMs: number;
    /** Share of the slots in use on workers without interference. */
    readonly slotUtilization: number;
    /** Demand of batch work as a share of the processors that the service leaves free. */
    readonly batchDemand: number;
    /** The service first, then the watches, then the batch classes. */
    readonly classes: readonly SimClass[];
    readonly watchCount: number;
    /** Predicted slowdown above which a batch task waits although a worker has room, and its longest wait. */
    readonly toleratedSlowdown: number;
    readonly maxPlacementDelaySeconds: number;
    /** Weights of the score; they sum to 1. */
    readonly weights: { readonly tail: number; readonly throughput: number; readonly evictions: number };
}
