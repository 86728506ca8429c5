/** A request to a `JsonServer` after routing and decoding. */
export interface JsonRequest {
    readonly params: Readonly<Record<string, string | undefined>>;
    readonly query: URLSearchParams;
    /** Decoded JSON; `undefined` when the request has no body. */
    readonly body: unknown;
    /** Aborted when the client closes its connection. */
    readonly signal: AbortSignal;
}
