import type { KeyClaimResult } from "./key-claim-result.js";

/** Claims the right to send a request with an idempotency key, at the entry process that owns the key. */
export abstract class KeyClaimer {
    /**
     * `key` names route, customer and the caller's key. Rejections and any answer but `Granted` mean that the
     * request is not sent. A claim must never be repeated with another outcome after it was granted.
     */
    abstract claim(key: string, claimId: string): Promise<KeyClaimResult>;

    /** Gives a granted claim back, only when the request is proved not to have run. May do nothing. */
    abstract release(key: string, claimId: string): void;
}
