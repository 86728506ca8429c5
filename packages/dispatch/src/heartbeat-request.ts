/** A request that extends a worker's lease and asks for its runs. */
export interface HeartbeatRequest {
    readonly fencingToken: number;
    /** Ends up to this sequence number are durable; the worker can discard them. */
    readonly lastDurableEndSequence: number;
    /**
     * Time on the worker's clock until which its runs may continue. Undefined, while that clock is not known or the
     * worker is unreachable, leaves the lease as it is.
     */
    readonly deadlineMs: number | undefined;
    /** Longest time that the worker waits for a run to end before it responds, in milliseconds. */
    readonly waitMs: number;
    /** Longest time until the response arrives, in milliseconds. */
    readonly timeoutMs: number;
}
