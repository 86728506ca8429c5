/** Faults that `MemoryKeyValueStore` injects into a call. */
export const StoreFault = {
    /** The call is refused and not applied. */
    Refused: "refused",
    /** The request is lost: a write is reported as "may be applied", but is not applied. */
    LostBeforeApply: "lost-before-apply",
    /** The response is lost: a write is applied, but reported as "may be applied". */
    LostAfterApply: "lost-after-apply",
    /** The response is lost, and a write is applied later, when the test calls `deliverLate`. */
    AppliedLate: "applied-late",
} as const;

export type StoreFault = (typeof StoreFault)[keyof typeof StoreFault];
