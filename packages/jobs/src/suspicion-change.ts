/** Why the suspicion against a task changed; logged with each change. */
export const SuspicionChange = {
    /** Its worker crashed, and the task is one of several that may be the cause. */
    Shared: "shared",
    /** Its worker crashed during its trial. */
    Trial: "trial",
    /** The same, and nothing else explains the crash. */
    Proven: "proven",
    /** A worker that a previous owner stored for the task is gone. */
    Inherited: "inherited",
    /** The crash does not count: most of the rack or of the cell was lost at the same time. */
    GroupLost: "group-lost",
    /** The crash does not count: the worker was only cut off. */
    CutOff: "cut-off",
    /** The task has run for a time without a crash. */
    Survived: "survived",
} as const;

export type SuspicionChange = (typeof SuspicionChange)[keyof typeof SuspicionChange];
