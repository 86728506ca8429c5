/** What is known about a store call that did not succeed. */
export const StoreErrorKind = {
    /** The condition did not hold; nothing was written. */
    Conflict: "conflict",
    /** The call did not reach the store or was refused; nothing was written. */
    NotApplied: "not-applied",
    /** The answer was lost or late; the write may have taken effect. */
    MayBeApplied: "may-be-applied",
    /** The lease does not exist or has lapsed. */
    LeaseLost: "lease-lost",
} as const;

export type StoreErrorKind = (typeof StoreErrorKind)[keyof typeof StoreErrorKind];
