/** Options of one append. */
export interface AppendOptions {
    /**
     * Refuses the append with `StoreUnavailable` when it was certainly not written within this time. An append
     * that may have been written stays until its outcome is known.
     */
    readonly giveUpAfterMs?: number;
}
