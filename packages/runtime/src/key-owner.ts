/** Answers claims for idempotency keys in the entry process that owns them. */
export abstract class KeyOwner {
    /** Returns the result's text, as `KeyClaimResult` of the routing package names it. */
    abstract claim(key: string, claimId: string): string;

    abstract release(key: string, claimId: string): void;
}
