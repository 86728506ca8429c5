/** Options of one append. */
export interface AppendOptions {
    /**
     * Longest time in the queue. After it, an append that was certainly not written fails with
     * `StoreUnavailable`; an append that may have been written stays until its outcome is known.
     */
    readonly queueTimeoutMs?: number;
}
