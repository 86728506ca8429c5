/** The answer of a JSON port; `body` is encoded as JSON. */
export interface JsonResponse {
    readonly status: number;
    readonly body: unknown;
    /** Tag of the content, for a later conditional request; only in answers that a client has received. */
    readonly etag?: string | undefined;
}
