/** Limits and timeouts of request handling in an entry process. Times are in milliseconds. */
export interface RequestSettings {
    /** Timeout for opening a connection to a target. */
    readonly connectTimeoutMs: number;
    /** A non-idempotent request is sent only on a connection that received bytes within this time. */
    readonly validatedMs: number;
    /** Idle connections are closed after this time. Must be shorter than the targets' keep-alive timeout. */
    readonly idleMs: number;
    /** Time without bytes on a busy connection after which a probe is sent on a new one. */
    readonly probeAfterMs: number;
    /** Timeout of a probe. A slower response means that the back end is slow, not that the connection is lost. */
    readonly probeTimeoutMs: number;
    /** Maximum attempts of one request, including the first; up to 6 failed connections do not count. */
    readonly maxAttempts: number;
    /** Maximum ratio of retries to requests in the long run. */
    readonly retryShare: number;
    /** Maximum size of the headers of a response, and of a request. */
    readonly maxHeaderBytes: number;
    /**
     * Responses up to this length are buffered until complete, so that the request can be retried if one is
     * truncated.
     */
    readonly heldAnswerBytes: number;
    /** Maximum total size of the request bodies buffered by the process. */
    readonly maxBodiesBytes: number;
    /** Maximum number of concurrent requests in the process, over all routes. */
    readonly maxRequests: number;
    /** Maximum time for a caller to read a response after the target has sent it completely. */
    readonly callerFlushMs: number;
    /** Keep-alive timeout of a caller's connection between two requests. */
    readonly callerIdleMs: number;
}
