/** Handles claims of idempotency keys in the entry process that owns the keys. */
export abstract class KeyOwner {
    /** Returns a value of `KeyClaimResult` of the routing package. */
    abstract claim(key: string, claimId: string): string;

    abstract release(key: string, claimId: string): void;
}
