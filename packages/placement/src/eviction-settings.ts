/** Settings of `EvictionPlanner`; docs/placement.md lists the defaults with their reasons. */
export interface EvictionSettings {
    /** Pressure from which on a report counts towards overload; 1 is the limit itself. */
    readonly overloadPressure: number;
    /** Pressure up to which a report counts towards recovery; in between, a worker keeps its state. */
    readonly recoveryPressure: number;
    /** Consecutive reports of at least `overloadPressure` after which a worker is overloaded. */
    readonly overloadReports: number;
    /** Consecutive reports of at most `recoveryPressure` after which it has recovered. */
    readonly recoveryReports: number;
    /** Factor by which each throttling step multiplies the share of its processors that a task may use. */
    readonly throttleFactor: number;
    /** Smallest share to which a task is throttled. Tasks are evicted only when throttling goes no further. */
    readonly minProcessorShare: number;
    /** Pressure from which on tasks are evicted when throttling goes no further; a smaller excess is tolerated. */
    readonly evictionPressure: number;
    /** Time after an action without another one on the worker, so that its effect shows in the lagged reports. */
    readonly settlingTimeMs: number;
    /** Most evictions in any time window of `windowMs`. */
    readonly maxEvictionsPerWindow: number;
    readonly windowMs: number;
    /** How many of `maxEvictionsPerWindow` are reserved for preemption by urgent tasks. */
    readonly urgentReservedEvictions: number;
    /** Time within which an evicted task is not evicted again because of pressure. */
    readonly reevictionDelayMs: number;
}
