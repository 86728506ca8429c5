import type { Clock } from "@samphireward/core/clock";
import { rendezvousPick } from "@samphireward/core/rendezvous-pick";
import { KeyClaimRegistry } from "@samphireward/routing/key-claim-registry";
import { KeyOwner } from "@samphireward/runtime/key-owner";
import type { KeyValueStore } from "@samphireward/state/key-value-store";
import type { MemberInfo } from "@samphireward/state/member-info";
import * as Effect from "effect/Effect";
import type { KeyOwnerAddress } from "./key-owner-address.js";

const ReadIntervalMs = 5_000;
/** Three failed reads in a row end the view; keyed requests are refused then. */
const ViewTtlMs = 16_000;
const MarginMs = 2_000;
/** About 100 bytes each. */
const MaxKeys = 100_000;

interface EntryKeysOptions {
    readonly clock: Clock;
    readonly store: KeyValueStore;
    readonly name: string;
    /** Start time; makes the owner's name unique for each start of the process. */
    readonly incarnation: number;
    readonly rememberMs: number;
}

/**
 * Idempotency keys of this entry process. The owner of a key is chosen among the registrations in the store,
 * because the members known from exchanges may differ between two entry processes for longer than a key is remembered.
 */
export class EntryKeys extends KeyOwner {
    private readonly claims: KeyClaimRegistry;
    private readonly self: string;
    private addresses: ReadonlyMap<string, string> = new Map();

    private constructor(private readonly options: EntryKeysOptions) {
        super();
        const { clock, name, incarnation, rememberMs } = options;
        this.self = `${name}@${incarnation}`;
        this.claims = KeyClaimRegistry.create({
            clock,
            self: this.self,
            retentionMs: rememberMs,
            memberListTtlMs: ViewTtlMs,
            marginMs: MarginMs,
            maxKeys: MaxKeys,
        });
    }

    static create(options: EntryKeysOptions): EntryKeys {
        return new EntryKeys(options);
    }

    override claim(key: string, claimId: string): string {
        return this.claims.claim(key, claimId);
    }

    override release(key: string, claimId: string): void {
        this.claims.release(key, claimId);
    }

    /** The entry process that owns a key as this one sees it; `undefined` when no list was read yet. */
    ownerOf(key: string): KeyOwnerAddress | undefined {
        const owner = rendezvousPick(key, [...this.addresses.keys()]);
        const address = owner === undefined ? undefined : this.addresses.get(owner);
        return address === undefined ? undefined : { isSelf: owner === this.self, address };
    }

    /** Reads the registrations until interrupted. */
    run(): Effect.Effect<never> {
        return Effect.forever(
            Effect.gen({ self: this }, function* () {
                yield* Effect.promise(() => this.read());
                yield* Effect.sleep(ReadIntervalMs);
            }),
        );
    }

    private async read(): Promise<void> {
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
