/** Settings of `EvictionPlanner`; docs/placement.md lists the defaults with their reasons. */
export interface EvictionSettings {
    /** A worker becomes overloaded when its pressure is at least this; 1 is the limit itself. */
    readonly overloadPressure: number;
    /** It recovers when its pressure is at most this; in between it keeps its state. */
    readonly recoveryPressure: number;
    /** Reports in a row above `enterPressure` that make a worker overloaded. */
    readonly overloadReports: number;
    /** Reports in a row below `leavePressure` after which it has recovered. */
    readonly recoveryReports: number;
    /** Factor by which each step of throttling reduces the share of a task's processors. */
    readonly throttleFactor: number;
    /** Least share that throttling leaves; only then is a task evicted. */
    readonly minProcessorShare: number;
    /** Pressure from which tasks are evicted once throttling is exhausted; below it the excess is tolerated. */
    readonly evictionPressure: number;
    /** Time without a further action on a worker, so that the last one shows in the lagged reports. */
    readonly settlingTimeMs: number;
    /** Evictions allowed in each window. */
    readonly maxEvictionsPerWindow: number;
    readonly windowMs: number;
    /** Part of the budget that only urgent work may spend. */
    readonly urgentReservedEvictions: number;
    /** A task evicted once is not evicted again for pressure within this time. */
    readonly reevictionDelayMs: number;
}
