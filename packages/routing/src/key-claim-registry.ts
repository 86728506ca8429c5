import type { Clock } from "@samphireward/core/clock";
import { KeyClaimResult } from "./key-claim-result.js";
import { MembershipHistory } from "./membership-history.js";

interface Claim {
    readonly claimId: string;
    readonly expiresAtMs: number;
}

interface KeyClaimRegistryOptions {
    readonly clock: Clock;
    /** Name of this process, unique for each start. */
    readonly self: string;
    /** How long a granted key is remembered. Must be well above the longest deadline of a route. */
    readonly retentionMs: number;
    /** How long a list of entry processes read from the store may be relied on. */
    readonly memberListTtlMs: number;
    /** For clocks of different rates. */
    readonly marginMs: number;
    readonly maxKeys: number;
}

/**
 * The keys that this process owns. A key is granted once within `rememberMs`. A process grants a key only
 * when it has owned it for the time in which any other process may have granted it (docs/requests.md).
 */
export class KeyClaimRegistry {
    /** In the order of their expiry, because all are remembered equally long. */
    private readonly claims = new Map<string, Claim>();
    private readonly membership: MembershipHistory;

    private constructor(private readonly options: KeyClaimRegistryOptions) {
        this.membership = MembershipHistory.create(options.memberListTtlMs);
    }

    static create(options: KeyClaimRegistryOptions): KeyClaimRegistry {
        return new KeyClaimRegistry(options);
    }

    /** Time for which a process must have owned a key before it grants it. */
    get minOwnershipMs(): number {
        const { retentionMs: rememberMs, memberListTtlMs: viewTtlMs, marginMs } = this.options;
        return rememberMs + viewTtlMs + marginMs;
    }

    /** The members read from the store (this process included) by a read that was sent at `sentAtMs`. */
    observeMembers(members: readonly string[], sentAtMs: number): void {
        this.membership.observe(members, sentAtMs, this.options.clock.nowMs(), this.minOwnershipMs);
    }

    claim(key: string, claimId: string): KeyClaimResult {
        const nowMs = this.options.clock.nowMs();
        this.removeExpired(nowMs);
        if (!this.membership.hasOwnedFor(this.options.self, key, this.minOwnershipMs, nowMs)) {
            return KeyClaimResult.NotReady;
        }
        const known = this.claims.get(key);
        if (known !== undefined) {
            return known.claimId === claimId ? KeyClaimResult.Granted : KeyClaimResult.AlreadyUsed;
        }
        if (this.claims.size >= this.options.maxKeys) {
            return KeyClaimResult.Full;
        }
        this.claims.set(key, { claimId, expiresAtMs: nowMs + this.options.retentionMs });
        return KeyClaimResult.Granted;
    }

    /** Forgets a claim whose request is proved not to have run. */
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
