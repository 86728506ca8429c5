/** Limits of a server over all its clients. Times are in milliseconds. */
export interface ServerLimits {
    /** Maximum number of connections. Beyond it, the one that has been without a request for longest is closed. */
    readonly connections: number;
    /** Maximum number of requests whose responses are not sent or whose handlers are not done. */
    readonly requests: number;
    /** Maximum number of these on one connection. */
    readonly requestsPerConnection: number;
    /** Maximum memory of the bodies of all open requests, in bytes. */
    readonly bodyBytes: number;
    /** Maximum time without data of a body. */
    readonly bodyIdleMs: number;
    /** Maximum time for a body. */
    readonly bodyMs: number;
    /** Maximum time for the headers of a request, from the opening of the connection for the first one. */
    readonly headerMs: number;
    /** Maximum time without progress of a response that is being sent. */
    readonly responseIdleMs: number;
}
