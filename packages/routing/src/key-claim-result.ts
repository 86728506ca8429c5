/** Response of the owner of an idempotency key to a claim. */
export const KeyClaimResult = {
    Granted: "granted",
    /** Another request with the key was granted within the retention period. */
    AlreadyUsed: "already-used",
    /** This process is not the owner, or a previous owner may have granted the key without its knowledge. */
    NotReady: "not-ready",
    /** The owner stores the maximum number of keys. */
    Full: "full",
} as const;

export type KeyClaimResult = (typeof KeyClaimResult)[keyof typeof KeyClaimResult];
