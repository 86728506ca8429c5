/** What is known about the effect of a failed store call. */
export const StoreErrorKind = {
    /** The key did not have the expected revision; nothing was written. */
    Conflict: "conflict",
    /** The call did not reach the store or was rejected; nothing was written. */
    NotApplied: "not-applied",
    /** The response was lost or late; the write may have taken effect. */
    MayBeApplied: "may-be-applied",
    /** The lease does not exist or has expired. */
    LeaseLost: "lease-lost",
} as const;

export type StoreErrorKind = (typeof StoreErrorKind)[keyof typeof StoreErrorKind];
