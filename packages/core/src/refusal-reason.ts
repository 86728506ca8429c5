/** Why a server refused a request or closed a connection. The values are labels of metrics. */
export const RefusalReason = {
    /** The server has as many connections as it may have. */
    Connections: "connections",
    /** The server has as many open requests as it may have. */
    Requests: "requests",
    /** The connection has as many open requests as it may have. */
    Pipelining: "pipelining",
    /** All bodies together need more memory than they may. */
    Bodies: "bodies",
    /** The body is longer than its limit. */
    BodySize: "body-size",
    /** The body did not arrive in time. */
    BodyTime: "body-time",
    /** The headers or trailers are longer than their limit. */
    HeaderSize: "header-size",
    /** The headers did not arrive in time. */
    HeaderTime: "header-time",
    /** The client did not read its response in time. */
    ResponseTime: "response-time",
    /** The bytes are not HTTP. */
    Malformed: "malformed",
} as const;

export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];
