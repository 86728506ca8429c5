/** Settings of `QuarantineTracker`; docs/operations/quarantine.md lists the defaults with their reasons. */
export interface QuarantineSettings {
    /** Number of different jobs that must fail in a row on a worker, and on no other, before it is quarantined. */
    readonly failureThreshold: number;
    /** Number of different jobs that must succeed in a row for a worker to pass its probation. */
    readonly successThreshold: number;
    /** Largest share of a cell's workers in quarantine or on probation; at least one worker is always allowed. */
    readonly maxQuarantinedShare: number;
    /** Duration of the first quarantine. It doubles with each failed probation, up to `maxQuarantineMs`. */
    readonly initialQuarantineMs: number;
    readonly maxQuarantineMs: number;
}
