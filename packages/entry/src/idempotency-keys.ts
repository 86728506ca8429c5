import type { Clock } from "@samphireward/core/clock";
import { rendezvousPick } from "@samphireward/core/rendezvous-pick";
import { KeyClaimRegistry } from "@samphireward/routing/key-claim-registry";
import { KeyOwner } from "@samphireward/runtime/key-owner";
import type { KeyValueStore } from "@samphireward/state/key-value-store";
import type { MemberInfo } from "@samphireward/state/member-info";
import * as Effect from "effect/Effect";
import type { KeyOwnerAddress } from "./key-owner-address.js";

const MemberListIntervalMs = 5_000;
/** Three consecutive failed reads let the member list expire; requests with a key are refused then. */
const MemberListTtlMs = 16_000;
const ClockRateMarginMs = 2_000;
/** Each remembered key takes about 100 bytes. */
const MaxKeys = 100_000;

interface IdempotencyKeysOptions {
    readonly clock: Clock;
    readonly store: KeyValueStore;
    readonly name: string;
    /** Start time of the process; makes the owner's name unique for each start. */
    readonly incarnation: number;
    readonly retentionMs: number;
}

/**
 * Grants claims for the idempotency keys that this entry process owns, and finds the owner of a key. Owners are chosen
 * among the registrations in the store, because the members known from exchanges between processes may differ between
 * two entry processes for longer than a key is remembered.
 */
export class IdempotencyKeys extends KeyOwner {
    private readonly claims: KeyClaimRegistry;
    private readonly self: string;
    private addresses: ReadonlyMap<string, string> = new Map();

    private constructor(private readonly options: IdempotencyKeysOptions) {
        super();
        const { clock, name, incarnation, retentionMs } = options;
        this.self = `${name}@${incarnation}`;
        this.claims = KeyClaimRegistry.create({
            clock,
            self: this.self,
            retentionMs,
            memberListTtlMs: MemberListTtlMs,
            marginMs: ClockRateMarginMs,
            maxKeys: MaxKeys,
        });
    }

    static create(options: IdempotencyKeysOptions): IdempotencyKeys {
        return new IdempotencyKeys(options);
    }

    override claim(key: string, claimId: string): string {
        return this.claims.claim(key, claimId);
    }

    override release(key: string, claimId: string): void {
        this.claims.release(key, claimId);
    }

    /** The entry process that owns a key according to the last list read; `undefined` before the first read. */
    ownerOf(key: string): KeyOwnerAddress | undefined {
        const owner = rendezvousPick(key, [...this.addresses.keys()]);
        const address = owner === undefined ? undefined : this.addresses.get(owner);
        return address === undefined ? undefined : { isSelf: owner === this.self, address };
    }

    /** Reads the registrations periodically until interrupted. */
    run(): Effect.Effect<never> {
        return Effect.forever(
            Effect.gen({ self: this }, function* () {
                yield* Effect.promise(() => this.readRegistrations());
                yield* Effect.sleep(MemberListIntervalMs);
            }),
        );
    }

    private async readRegistrations(): Promise<void> {
        const sentAtMs = this.options.clock.nowMs();
        const listed = await this.options.store.list("member/");
        if (listed.isErr()) {
            return;
        }
        const members = listed.value.entries.map(entry => JSON.parse(entry.value) as MemberInfo);
        const entries = members.filter(member => member.role === "entry");
        this.addresses = new Map(
            entries.map(member => [`${member.name}@${member.incarnation}`, member.address]),
        );
        this.claims.observeMembers([...this.addresses.keys()], sentAtMs);
    }
}
