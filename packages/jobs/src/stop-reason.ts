/** Why a run is stopped; logged with each stop order. */
export const StopReason = {
    /** Its job has ended or its task is done. */
    Unwanted: "unwanted",
    /** Another run of the task is the current one. */
    NotCurrent: "not-current",
    /** Its start got no response. */
    NoAnswer: "no-answer",
    /** It is preempted for short tasks without capacity. */
    Preempted: "makes-way",
    /** It is expected to finish sooner on another worker. */
    Migrated: "moves",
    /** Its data centre is evacuated, and another one has capacity for it. */
    Evacuated: "evacuated",
    /** It is a speculative copy that is expected to end after its original. */
    Behind: "copy-behind",
    /** It belongs to no task of an open job. */
    Orphan: "stray",
    /** Its start was sent to a previous incarnation of the worker, got no response and may still be carried out. */
    LateStart: "late-start",
} as const;

export type StopReason = (typeof StopReason)[keyof typeof StopReason];
