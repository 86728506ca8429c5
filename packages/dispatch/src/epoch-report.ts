/** What a process reports of the owner of a cell, to an owner that does not reach the store itself. */
export interface EpochReport {
    /** Highest epoch of an owner that the process knows of; undefined if it knows none. */
    readonly epoch: number | undefined;
    /** Whether the epoch was read from the store for this report. */
    readonly isCurrent: boolean;
}
