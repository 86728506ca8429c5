/** Periodic report of an entry process to the owner of a cell, sent every second. */
export interface ShareReport {
    /** Number of the report, unique within the entry process; echoed in `ShareUpdate.report`. */
    readonly report: number;
    readonly epoch: number;
    /** Highest update sequence of this epoch whose shares the entry process no longer exceeds. */
    readonly confirmedSequence: number;
    /** Requests in use and queued for the cell's workers. */
    readonly demand: number;
}
