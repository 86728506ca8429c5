import type { Clock } from "@samphireward/core/clock";
import { KeyClaimResult } from "./key-claim-result.js";
import { MembershipHistory } from "./membership-history.js";

interface Claim {
    readonly claimId: string;
    readonly expiresAtMs: number;
}

interface KeyClaimRegistryOptions {
    readonly clock: Clock;
    /** Name of this process, unique to each start. */
    readonly self: string;
    /** How long a granted key is stored. Must be well above the longest deadline of any route. */
    readonly retentionMs: number;
    /** How long a list of entry processes read from the store is considered valid. */
    readonly memberListTtlMs: number;
    /** Allowance for clocks that run at different rates. */
    readonly marginMs: number;
    readonly maxKeys: number;
}

/**
 * Claims on the idempotency keys that this process owns. A key is granted once within `retentionMs`. A process
 * grants a key only after it has owned it for as long as a grant by another process could still be valid
 * (docs/requests.md).
 */
export class KeyClaimRegistry {
    /** In order of expiry, because all have the same retention period. */
    private readonly claims = new Map<string, Claim>();
    private readonly membership: MembershipHistory;

    private constructor(private readonly options: KeyClaimRegistryOptions) {
        this.membership = MembershipHistory.create(options.memberListTtlMs);
    }

    static create(options: KeyClaimRegistryOptions): KeyClaimRegistry {
        return new KeyClaimRegistry(options);
    }

    /** Time for which this process must have owned a key before it grants a claim on it. */
    get minOwnershipMs(): number {
        const { retentionMs, memberListTtlMs, marginMs } = this.options;
        return retentionMs + memberListTtlMs + marginMs;
    }

    /** Records the members (including this process) returned by a store read that was sent at `sentAtMs`. */
    observeMembers(members: readonly string[], sentAtMs: number): void {
        this.membership.observe(members, sentAtMs, this.options.clock.nowMs(), this.minOwnershipMs);
    }

    claim(key: string, claimId: string): KeyClaimResult {
        const nowMs = this.options.clock.nowMs();
        this.removeExpired(nowMs);
        if (!this.membership.hasOwnedFor(this.options.self, key, this.minOwnershipMs, nowMs)) {
            return KeyClaimResult.NotReady;
        }
        const existing = this.claims.get(key);
        if (existing !== undefined) {
            return existing.claimId === claimId ? KeyClaimResult.Granted : KeyClaimResult.AlreadyUsed;
        }
        if (this.claims.size >= this.options.maxKeys) {
            return KeyClaimResult.Full;
        }
        this.claims.set(key, { claimId, expiresAtMs: nowMs + this.options.retentionMs });
        return KeyClaimResult.Granted;
    }

    /** Removes a claim whose request is certain not to have run. */
    release(key: string, claimId: string): void {
        if (this.claims.get(key)?.claimId === claimId) {
            this.claims.delete(key);
        }
    }

    private removeExpired(nowMs: number): void {
        for (const [key, claim] of this.claims) {
            if (claim.expiresAtMs > nowMs) {
                return;
            }
            this.claims.delete(key);
        }
    }
}
