/** A response of a `JsonServer`; `body` is encoded as JSON. */
export interface JsonResponse {
    readonly status: number;
    readonly body: unknown;
    /** Entity tag for a later conditional request; set only in responses that a client has received. */
    readonly etag?: string | undefined;
    /** Length of the body as it was received; set only in responses that a client has received. */
    readonly receivedBytes?: number;
    /** Time from the beginning of the response to its end; set only in responses that a client has received. */
    readonly transferMs?: number;
}
