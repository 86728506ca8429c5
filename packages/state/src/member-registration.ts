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

const prefix = "member/";

/** Registers this process in the store under its lease, and reads the other registrations. */
export class MemberRegistration {
    readonly counters = Counters.create();
    private registeredLease: string | undefined;
    private lastReadMs = Number.NEGATIVE_INFINITY;

    private constructor(private readonly options: Options) {}

    static create(options: Options): MemberRegistration {
        return new MemberRegistration(options);
    }

    /** Reads the registrations and writes this process's own, when either is due. */
    async step(): Promise<void> {
        const { store, clock, lease, membership } = this.options;
        const isRegistered = this.registeredLease !== undefined && this.registeredLease === lease.leaseId;
        if (isRegistered && clock.nowMs() - this.lastReadMs < this.readEveryMs()) {
            return;
        }
        const listed = await store.list(prefix);
        if (listed.isErr()) {
            this.counters.add("registration.read-failed");
            return;
        }
        this.counters.add("registration.reads");
        this.lastReadMs = clock.nowMs();
        const entries = listed.value.entries;
        const registered = entries.map(entry => decodeJson(MemberInfo, entry.value));
        membership.mergeRegistered(registered.flatMap(result => (result.isOk() ? [result.value] : [])));
        if (!isRegistered && membership.replacedBy === undefined) {
            const own = entries.find(entry => entry.key === `${prefix}${membership.self.name}`);
            await this.register(own?.revision ?? 0);
        }
    }

    /** Registers and reads until interrupted. */
    run(): Effect.Effect<never> {
        return repeatStep(async () => {
            await this.step();
            return MembershipLimits.roundMs;
        });
    }

    /** Exchanges suffice while they work; the store is read often only when they leave a doubt. */
    private readEveryMs(): number {
        const others = this.options.membership.members.filter(
            view => view.name !== this.options.membership.self.name,
        );
        const isAnyAlive = others.some(view => view.state === MemberState.Alive);
        const isAnySuspected = others.some(view => view.state === MemberState.Suspected);
        const { registrationMs, quietRegistrationMs } = MembershipLimits;
        return isAnyAlive && !isAnySuspected ? quietRegistrationMs : registrationMs;
    }

    /** A lost answer needs no resolution: the next step finds the key under the current lease or writes it again. */
    private async register(ifRevision: number): Promise<void> {
        const { store, lease, membership } = this.options;
        const leaseId = lease.leaseId;
        if (leaseId === undefined || !lease.isValid()) {
            return;
        }
        const self = membership.self;
        const written = await store.put(`${prefix}${self.name}`, JSON.stringify(self), ifRevision, leaseId);
        this.counters.add(written.isOk() ? "registration.written" : "registration.write-failed");
        this.registeredLease = written.isOk() ? leaseId : undefined;
    }
}
