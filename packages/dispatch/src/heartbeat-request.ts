/** A call that extends a worker's lease and asks for its runs. */
export interface HeartbeatRequest {
    readonly fencingToken: number;
    /** Ends up to this number are durable and can be forgotten. */
    readonly durableEnd: number;
    /** Time on the worker's clock until which everything there may run; undefined while the clock is not known. */
    readonly deadlineMs: number | undefined;
    /** Longest time that the answer waits for an end, in milliseconds. */
    readonly waitMs: number;
}
