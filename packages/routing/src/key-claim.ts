import { randomUUID } from "node:crypto";
import { ResultCode } from "@samphireward/core/result-code";
import { KeyClaimResult } from "./key-claim-result.js";
import type { KeyClaimer } from "./key-claimer.js";

const refusalCodes: Readonly<Record<Exclude<KeyClaimResult, "granted">, ResultCode>> = {
    [KeyClaimResult.AlreadyUsed]: ResultCode.KeyAlreadyUsed,
    [KeyClaimResult.NotReady]: ResultCode.KeyOwnerUnreachable,
    [KeyClaimResult.Full]: ResultCode.KeyOwnerUnreachable,
};

/** The claim of one request on its idempotency key. Made once and valid for all attempts of the request. */
export class KeyClaim {
    private readonly claimId = randomUUID();
    isGranted = false;

    private constructor(
        private readonly claimer: KeyClaimer,
        private readonly key: string,
    ) {}

    static create(claimer: KeyClaimer, key: string): KeyClaim {
        return new KeyClaim(claimer, key);
    }

    /**
     * Claims the key at its owner. Returns the result code if the claim is refused, or `undefined` if it is
     * granted.
     */
    async request(): Promise<ResultCode | undefined> {
        // An owner that does not respond may have granted the claim, but nothing is sent without its response.
        const result = await this.claimer.claim(this.key, this.claimId).catch(() => KeyClaimResult.NotReady);
        this.isGranted = result === KeyClaimResult.Granted;
        return result === KeyClaimResult.Granted ? undefined : refusalCodes[result];
    }

    /** Releases the claim. Called only if it is certain that the request did not run. */
    release(): void {
        if (this.isGranted) {
            this.isGranted = false;
            this.claimer.release(this.key, this.claimId);
        }
    }
}
