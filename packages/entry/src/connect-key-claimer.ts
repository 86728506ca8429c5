import { createClient } from "@connectrpc/connect";
import { PeerService } from "@samphireward/protocol/gen/samphireward_pb";
import { KeyClaimResult } from "@samphireward/routing/key-claim-result";
import { KeyClaimer } from "@samphireward/routing/key-claimer";
import { PeerLimits } from "@samphireward/runtime/peer-limits";
import type { TransportCache } from "@samphireward/runtime/transport-cache";
import type { IdempotencyKeys } from "./idempotency-keys.js";

const knownResults: ReadonlySet<string> = new Set(Object.values(KeyClaimResult));

/** Claims idempotency keys at the entry process that owns them, by a Connect call if that is another process. */
export class ConnectKeyClaimer extends KeyClaimer {
    private constructor(
        private readonly keys: IdempotencyKeys,
        private readonly transports: TransportCache,
    ) {
        super();
    }

    static create(keys: IdempotencyKeys, transports: TransportCache): ConnectKeyClaimer {
        return new ConnectKeyClaimer(keys, transports);
    }

    override async claim(key: string, claimId: string): Promise<KeyClaimResult> {
        const owner = this.keys.ownerOf(key);
        if (owner === undefined) {
            return KeyClaimResult.NotReady;
        }
        const result = owner.isSelf
            ? this.keys.claim(key, claimId)
            : await this.claimRemote(owner.address, key, claimId);
        return knownResults.has(result) ? (result as KeyClaimResult) : KeyClaimResult.NotReady;
    }

    override release(key: string, claimId: string): void {
        const owner = this.keys.ownerOf(key);
        if (owner?.isSelf === true) {
            this.keys.release(key, claimId);
        } else if (owner !== undefined) {
            const client = createClient(PeerService, this.transports.get(owner.address));
            // If the release is lost, the key stays claimed until its retention time has passed.
            client
                .releaseKey({ key, claimId }, { timeoutMs: PeerLimits.claimTimeoutMs })
                .catch(() => undefined);
        }
    }

    private async claimRemote(address: string, key: string, claimId: string): Promise<string> {
        const client = createClient(PeerService, this.transports.get(address));
        const { result } = await client.claimKey({ key, claimId }, { timeoutMs: PeerLimits.claimTimeoutMs });
        return result;
    }
}
