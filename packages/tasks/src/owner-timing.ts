/** Time constants of a cell's owner, in milliseconds unless noted. */
export interface OwnerTiming {
    /** Task lease at the worker. */
    readonly leaseMs: number;
    readonly renewIntervalMs: number;
    /** Fraction of the lease by which the worker's clock may run slower than the owner's. */
    readonly clockRateMargin: number;
    readonly marginMs: number;
    /** A command reaches the worker at most this long after its call has settled, or never (docs/PLATFORM.md). */
    readonly deliveryMs: number;
    readonly outcomeIntervalMs: number;
    readonly usageIntervalMs: number;
    /** Delay after a failed call before the next one to the same worker. */
    readonly retryDelayMs: number;
    /** Time after which a submission that is not recorded is refused. */
    readonly submissionTimeoutMs: number;
    /** Placement of waiting tasks is retried at least this often, because measured load changes. */
    readonly placementIntervalMs: number;
}
