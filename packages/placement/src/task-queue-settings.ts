/** Settings of `TaskQueue`. */
export interface TaskQueueSettings {
    /** Longest time for which smaller tasks may pass a task that waits for capacity. */
    readonly maxBackfillDelayMs: number;
}
