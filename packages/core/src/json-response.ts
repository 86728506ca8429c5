/** The answer of a JSON port; `body` is encoded as JSON. */
export interface JsonResponse {
    readonly status: number;
    readonly body: unknown;
}
