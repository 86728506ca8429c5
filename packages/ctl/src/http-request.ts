/** One HTTP call to a process of the system. */
export interface HttpRequest {
    readonly method: "GET" | "PUT" | "POST";
    /** Path with its query. */
    readonly path: string;
    /** Sent as JSON. */
    readonly body?: unknown;
    /** Whether the call has the same effect when it is repeated after a lost answer. */
    readonly idempotent: boolean;
}
