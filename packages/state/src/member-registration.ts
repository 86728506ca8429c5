import type { Clock } from "@samphireward/core/clock";
import { Counters } from "@samphireward/core/counters";
import type * as Effect from "effect/Effect";
import { decodeJson } from "./decode-json.js";
import type { KeyValueStore } from "./key-value-store.js";
import { MemberInfo } from "./member-info.js";
import { MemberState } from "./member-state.js";
import type { Membership } from "./membership.js";
import { MembershipLimits } from "./membership-limits.js";
import type { ProcessLease } from "./process-lease.js";
import { repeatStep } from "./repeat-step.js";

interface Options {
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly lease: ProcessLease;
    readonly membership: Membership;
}

const RegistrationPrefix = "member/";

/** Registers this process in the store under its lease and reads the registrations of the others. */
export class MemberRegistration {
    readonly counters = Counters.create();
    private registeredLeaseId: string | undefined;
    private lastReadAtMs = Number.NEGATIVE_INFINITY;

    private constructor(private readonly options: Options) {}

    static create(options: Options): MemberRegistration {
        return new MemberRegistration(options);
    }

    /** Reads the registrations, and writes that of this process if it is missing, when either is due. */
    async step(): Promise<void> {
        const { store, clock, lease, membership } = this.options;
        const isRegistered = this.registeredLeaseId !== undefined && this.registeredLeaseId === lease.leaseId;
        const mayRegister = !isRegistered && membership.replacedBy === undefined && lease.isValid();
        const ownKey = `${RegistrationPrefix}${membership.self.name}`;
        if (clock.nowMs() - this.lastReadAtMs < this.readIntervalMs()) {
            if (mayRegister) {
                await this.registerAgain(ownKey);
            }
            return;
        }
        const listed = await store.list(RegistrationPrefix);
        if (listed.isErr()) {
            this.counters.add("registration.read-failed");
            return;
        }
        this.counters.add("registration.reads");
        this.lastReadAtMs = clock.nowMs();
        const entries = listed.value.entries;
        const registered = entries.map(entry => decodeJson(MemberInfo, entry.value));
        membership.mergeRegistered(registered.flatMap(result => (result.isOk() ? [result.value] : [])));
        if (!isRegistered && membership.replacedBy === undefined) {
            const own = entries.find(entry => entry.key === ownKey);
            await this.register(own?.revision ?? 0);
        }
    }

    /** Registers this process and reads the registrations until interrupted. */
    run(): Effect.Effect<never> {
        return repeatStep(async () => {
            await this.step();
            return MembershipLimits.roundIntervalMs;
        });
    }

    /** The store is read often only while the exchanges leave the state of the members uncertain. */
    private readIntervalMs(): number {
        const others = this.options.membership.members.filter(
            view => view.name !== this.options.membership.self.name,
        );
        const isAnyAlive = others.some(view => view.state === MemberState.Alive);
        const isAnySuspected = others.some(view => view.state === MemberState.Suspected);
        const {
            registrationReadIntervalMs: registrationMs,
            stableRegistrationReadIntervalMs: quietRegistrationMs,
        } = MembershipLimits;
        return isAnyAlive && !isAnySuspected ? quietRegistrationMs : registrationMs;
    }

    /** Registers between two reads of all registrations, which would cost more with each member. */
    private async registerAgain(ownKey: string): Promise<void> {
        const own = await this.options.store.get(ownKey);
        if (own.isErr()) {
            this.counters.add("registration.read-failed");
            return;
        }
        await this.register(own.value?.revision ?? 0);
    }

    /** A lost response is not resolved here: the next step reads the key and writes it again. */
    private async register(ifRevision: number): Promise<void> {
        const { store, lease, membership } = this.options;
        const leaseId = lease.leaseId;
        if (leaseId === undefined || !lease.isValid()) {
            return;
        }
        const self = membership.self;
        const written = await store.put(
            `${RegistrationPrefix}${self.name}`,
            JSON.stringify(self),
            ifRevision,
            leaseId,
        );
        this.counters.add(written.isOk() ? "registration.written" : "registration.write-failed");
        this.registeredLeaseId = written.isOk() ? leaseId : undefined;
    }
}
