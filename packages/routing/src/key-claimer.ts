import type { KeyClaimResult } from "./key-claim-result.js";

/** Claims the right to send a request with an idempotency key, at the entry process that owns the key. */
export abstract class KeyClaimer {
    /**
     * `key` combines the route, the customer and the caller's key. If the promise rejects or resolves to anything
     * but `Granted`, the request is not sent. Once granted, a repeated claim must not have a different result.
     */
    abstract claim(key: string, claimId: string): Promise<KeyClaimResult>;

    /** Releases a granted claim. Called only if it is certain that the request did not run. May do nothing. */
    abstract release(key: string, claimId: string): void;
}
