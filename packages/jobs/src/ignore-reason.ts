/** Why a listed end is not the end of its task's current run; logged with each such end. */
export const IgnoreReason = {
    /** Another run of the task is the current one, or was started later. The task is done by an end as done nevertheless. */
    NotCurrent: "not-current",
    /**
     * The task is done. Another run was done before, or a previous owner has stored this end and the worker repeats it.
     */
    TaskDone: "task-done",
    /** The job is not known; jobs are forgotten some time after their end. */
    JobUnknown: "job-unknown",
} as const;

export type IgnoreReason = (typeof IgnoreReason)[keyof typeof IgnoreReason];
