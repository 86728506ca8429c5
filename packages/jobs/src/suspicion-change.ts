/** Why the suspicion against a task changed; logged with each change. */
export const SuspicionChange = {
    /** Its worker crashed, and the task is one of several that may be the cause. */
    Shared: "shared",
    /** Its worker crashed during its trial. */
    Trial: "trial",
    /** The crash counts: another incarnation or another worker has taken the place of the lost one. */
    Proven: "proven",
    /** The loss does not count: nothing has taken the place of the worker, which may be cut off. */
    Unproven: "unproven",
    /** A worker that a previous owner stored for the task is gone. */
    Inherited: "inherited",
    /** The crash does not count: the worker was only cut off. */
    CutOff: "cut-off",
    /** The task has run for a time without a crash. */
    Survived: "survived",
} as const;

export type SuspicionChange = (typeof SuspicionChange)[keyof typeof SuspicionChange];
