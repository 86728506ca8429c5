/** The work that goes before a new job in the start order of its service. */
export interface WorkAhead {
    /** Open steps with ready tasks that rank before the job, and the ready tasks of these steps. */
    readonly steps: number;
    readonly tasks: number;
    /** Estimated work of these tasks, in processor-milliseconds. */
    readonly processorMs: number;
    /** Open steps with ready tasks of the service, including those that rank after the job. */
    readonly waitingSteps: number;
    /**
     * Steps ahead of the job for which a worker has room now. Their starts come first, so that the job may get another
     * worker than the explained one.
     */
    readonly startableSteps: number;
    /** Whether only the first steps of a long queue were looked at. */
    readonly isPartial: boolean;
}
