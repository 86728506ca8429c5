/** States of a job, as reported to callers. */
export const JobState = {
    Queued: "queued",
    Running: "running",
    Completed: "completed",
    Failed: "failed",
    Cancelled: "cancelled",
} as const;

export type JobState = (typeof JobState)[keyof typeof JobState];
