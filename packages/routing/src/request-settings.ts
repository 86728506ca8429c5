/** Limits and times of the request path of one entry process. Times are in milliseconds. */
export interface RequestSettings {
    /** Longest time to open a connection to a target. */
    readonly connectTimeoutMs: number;
    /** A non-idempotent request is sent only on a connection that received bytes within this time. */
    readonly validatedMs: number;
    /** Idle connections are closed after this time. Must be below the targets' own keep-alive time. */
    readonly idleMs: number;
    /** Silence on a connection in use after which a probe is sent on a new one. */
    readonly probeAfterMs: number;
    /** Longest time for the answer to a probe; a slower one means a slow back end. */
    readonly probeTimeoutMs: number;
    /** Sends of one request, the first included; up to 6 failed connections do not count. */
    readonly maxAttempts: number;
    /** Retries as a share of the load. */
    readonly retryShare: number;
    /** Limit of the headers of an answer, and of a request. */
    readonly maxHeaderBytes: number;
    /** Answers up to this length are held until they are whole, so that a truncated one can be repeated. */
    readonly heldAnswerBytes: number;
    /** Request bodies held by the process at the same time. */
    readonly maxBodiesBytes: number;
    /** Requests in the process at the same time, over all routes. */
    readonly maxRequests: number;
    /** Longest time that a caller may take to read an answer after the target has sent it whole. */
    readonly callerFlushMs: number;
    /** Longest idle time of a caller's connection between two requests. */
    readonly callerIdleMs: number;
}
