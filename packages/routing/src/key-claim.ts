import { randomUUID } from "node:crypto";
import { ResultCode } from "@samphireward/core/result-code";
import { KeyClaimResult } from "./key-claim-result.js";
import type { KeyClaimer } from "./key-claimer.js";

const refusalCodes: Readonly<Record<Exclude<KeyClaimResult, "granted">, ResultCode>> = {
    [KeyClaimResult.AlreadyUsed]: ResultCode.KeyAlreadyUsed,
    [KeyClaimResult.NotReady]: ResultCode.KeyOwnerUnreachable,
    [KeyClaimResult.Full]: ResultCode.KeyOwnerUnreachable,
};

/** The claim of one request on its idempotency key. It is made once and serves all sends of the request. */
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

    /** Asks the key's owner. Returns the code of a refusal, or `undefined` when the claim is granted. */
    async request(): Promise<ResultCode | undefined> {
        // An owner that does not answer may have granted the claim, but nothing is sent without its answer.
        const result = await this.claimer.claim(this.key, this.claimId).catch(() => KeyClaimResult.NotReady);
        this.isGranted = result === KeyClaimResult.Granted;
        return result === KeyClaimResult.Granted ? undefined : refusalCodes[result];
    }

    /** Gives the claim back. Called only when the request is proved not to have run. */
    release(): void {
        if (this.isGranted) {
            this.isGranted = false;
            this.claimer.release(this.key, this.claimId);
        }
    }
}
