/** Timing limits of a cell's owner. */
export interface CellLimits {
    /** Lease duration that each order grants to the runs on a worker. */
    readonly leaseMs: number;
    /** Longest lease that workers accept: the upper bound for previous owners whose lease duration is unknown. */
    readonly maxLeaseMs: number;
    /** Time that a worker needs to stop a run. */
    readonly stopMs: number;
    /** Longest delay after which a worker may still carry out an order that got no response. */
    readonly lateOrderMs: number;
}
