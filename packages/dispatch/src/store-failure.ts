/** Reason why a call to the metadata store has no result. */
export const StoreFailure = {
    /** The call had no effect: the store refused it or no connection was made. */
    NotDone: "not-done",
    /** No complete response: a write may have been applied, or may still be applied. */
    Unknown: "unknown",
    /** The history that a watch asks for has been compacted. */
    Compacted: "compacted",
    /** The lease that a call names has ended. */
    LeaseEnded: "lease-ended",
} as const;

export type StoreFailure = (typeof StoreFailure)[keyof typeof StoreFailure];
