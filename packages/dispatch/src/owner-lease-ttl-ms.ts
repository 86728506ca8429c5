/** Time to live of an owner's lease in the store. */
export const ownerLeaseTtlMs = 2_000;
