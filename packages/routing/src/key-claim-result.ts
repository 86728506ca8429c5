/** Answer of the owner of an idempotency key. */
export const KeyClaimResult = {
    Granted: "granted",
    /** Another request with the key was granted within the remembered time. */
    AlreadyUsed: "already-used",
    /** This process is not the owner, or cannot know what a previous owner granted. */
    NotReady: "not-ready",
    /** The owner remembers as many keys as it may. */
    Full: "full",
} as const;

export type KeyClaimResult = (typeof KeyClaimResult)[keyof typeof KeyClaimResult];
