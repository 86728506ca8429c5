/** Settings of `QuarantineTracker`; docs/operations/quarantine.md lists the defaults with their reasons. */
export interface QuarantineSettings {
    /** Different jobs that must fail in a row on a worker, without failing elsewhere. */
    readonly failureThreshold: number;
    /** Different jobs that must succeed in a row on probation. */
    readonly successThreshold: number;
    /** Largest share of a cell's workers in quarantine or on probation; one worker is always allowed. */
    readonly maxQuarantinedShare: number;
    /** First quarantine; doubled each time the worker fails its probation, up to `maxQuarantineMs`. */
    readonly initialQuarantineMs: number;
    readonly maxQuarantineMs: number;
}
