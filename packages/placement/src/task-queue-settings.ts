/** Settings of `TaskQueue`. */
export interface TaskQueueSettings {
    /** Longest time for which later tasks may start before a task that waits for capacity. */
    readonly maxBackfillDelayMs: number;
}
