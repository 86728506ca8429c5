/** An HTTP request to a process of the system. */
export interface HttpRequest {
    readonly method: "GET" | "PUT" | "POST";
    /** Path including the query. */
    readonly path: string;
    /** Sent as JSON. */
    readonly body?: unknown;
    /** Whether the request can be repeated after a lost response without a further effect. */
    readonly idempotent: boolean;
}
