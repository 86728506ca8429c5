/** Durable state of a task that is not done but has been started or has a checkpoint. */
export interface TaskProgress {
    readonly index: number;
    /** Numbers of the runs that ended as failed. */
    readonly failedRuns: readonly number[];
    readonly lastRun: number;
    readonly checkpoint: string;
}
