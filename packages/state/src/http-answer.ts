/** What came back for one HTTP request to the store. */
export interface HttpAnswer {
    /** HTTP status; `undefined` when no complete answer arrived. */
    readonly status?: number;
    /** Parsed JSON body; `undefined` when there was none. */
    readonly body?: unknown;
    /** Whether any byte of the request may have reached the store. */
    readonly wasSent: boolean;
    readonly message: string;
}
