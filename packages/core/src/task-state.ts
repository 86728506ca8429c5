/** Life-cycle state of a task. `Finished`, `Cancelled` and `Failed` are final. */
export const TaskState = {
    Queued: "queued",
    Starting: "starting",
    Running: "running",
    Checkpointing: "checkpointing",
    /** Queued again with a checkpoint to resume from. */
    Evicted: "evicted",
    Finished: "finished",
    Cancelled: "cancelled",
    Failed: "failed",
} as const;

export type TaskState = (typeof TaskState)[keyof typeof TaskState];
