/** Outcome of one HTTP request to the store. */
export interface HttpResponse {
    /** HTTP status; `undefined` when no complete response arrived. */
    readonly status?: number;
    /** Parsed JSON body; `undefined` for an empty body. */
    readonly body?: unknown;
    /** Whether any byte of the request may have reached the store. */
    readonly mayHaveBeenSent: boolean;
    readonly message: string;
}
