/** Why a job ended as failed; absent for one whose task has failed too often. */
export const JobEndReason = {
    /** Workers crashed under one of its tasks. */
    WorkerCrashes: "worker-crashes",
} as const;

export type JobEndReason = (typeof JobEndReason)[keyof typeof JobEndReason];
