/** A change that the cell's owner makes to a running task. */
export interface EvictionAction {
    readonly kind: "throttle" | "unthrottle" | "evict";
    readonly key: string;
    /** Share (0 to 1) of its processors that the task may use. */
    readonly processorShare: number;
}
