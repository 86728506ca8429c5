/** Why a run is stopped; the log says it with each stop. */
export const StopReason = {
    /** Its job was cancelled, has failed or is completed, or the task is done. */
    Unwanted: "unwanted",
    /** Another run of the task is the current one. */
    NotCurrent: "not-current",
    /** Its start had no answer. */
    NoAnswer: "no-answer",
    /** It makes way for short tasks without room. */
    Preempted: "makes-way",
    /** It is expected to be done sooner on another worker. */
    Migrated: "moves",
    /** It belongs to no task of an open job. */
    Orphan: "stray",
    /** Its start had no answer in an earlier life of the worker and may still be carried out. */
    LateStart: "late-start",
} as const;

export type StopReason = (typeof StopReason)[keyof typeof StopReason];
