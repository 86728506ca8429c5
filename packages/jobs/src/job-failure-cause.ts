/** Why a job ended as failed; logged, counted and stored with it. */
export const JobFailureCause = {
    /** A task has failed as often as its queue's rule allows. */
    Attempts: "attempts",
    /** Workers crashed under a task. */
    WorkerCrashes: "worker-crashes",
} as const;

export type JobFailureCause = (typeof JobFailureCause)[keyof typeof JobFailureCause];
