/** State of one task that is not as at its beginning. */
export interface TaskProgress {
    readonly index: number;
    /** Numbers of the runs that ended as failed. */
    readonly failedRuns: readonly number[];
    readonly lastRun: number;
    readonly checkpoint: string;
}
