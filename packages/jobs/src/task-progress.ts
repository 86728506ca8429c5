/** Durable state of a task that is not done but has been started or has a checkpoint. */
export interface TaskProgress {
    readonly index: number;
    /** Numbers of the runs that ended as failed. */
    readonly failedRuns: readonly number[];
    readonly lastRun: number;
    readonly checkpoint: string;
    /** Points of suspicion that the task crashes its workers; absent if it is not suspected. */
    readonly suspicion?: number;
    /** Key of the worker whose loss without a listed end counts against the task; absent if there is none. */
    readonly suspectWorker?: string;
}
