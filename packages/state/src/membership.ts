import type { Clock } from "@samphireward/core/clock";
import { Counters } from "@samphireward/core/counters";
import type { RandomSource } from "@samphireward/core/random-source";
import type * as Effect from "effect/Effect";
import type { ExchangeMessage } from "./exchange-message.js";
import type { MemberInfo } from "./member-info.js";
import { MemberState } from "./member-state.js";
import { MemberTable } from "./member-table.js";
import type { MemberView } from "./member-view.js";
import { MembershipLimits } from "./membership-limits.js";
import type { PeerExchange } from "./peer-exchange.js";
import type { ExchangeDelegate } from "./exchange-delegate.js";
import { repeatStep } from "./repeat-step.js";

interface Options {
    /** This process, without the fields that `Membership` maintains itself. */
    readonly self: Omit<MemberInfo, "heartbeat" | "configRevision" | "leaving">;
    /** Peer addresses from the settings. */
    readonly seeds: readonly string[];
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly exchange: PeerExchange;
    readonly delegate: ExchangeDelegate;
}

/** Gossip-based membership: the processes known to this process from exchanges with peers and from the store. */
export class Membership {
    readonly counters = Counters.create();
    private readonly table = MemberTable.create();
    private incarnation: number;
    private heartbeat = 0;
    private isLeaving = false;
    private successor: MemberInfo | undefined;
    private roundCount = 0;
    private lastRoundAtMs: number;

    private constructor(private readonly options: Options) {
        this.incarnation = options.self.incarnation;
        this.lastRoundAtMs = options.clock.nowMs();
    }

    static create(options: Options): Membership {
        return new Membership(options);
    }

    get self(): MemberInfo {
        return {
            ...this.options.self,
            incarnation: this.incarnation,
            heartbeat: this.heartbeat,
            configRevision: this.options.delegate.configRevision(),
            leaving: this.isLeaving,
        };
    }

    /** The process that has replaced this one: same name, a higher incarnation and another address. */
    get replacedBy(): MemberInfo | undefined {
        return this.successor;
    }

    /** This process and all others in the table, sorted by name. */
    get members(): MemberView[] {
        const self = { ...this.self, state: MemberState.Alive, ageMs: 0 };
        const others = this.table.views(this.options.clock.nowMs());
        return [self, ...others].sort((a, b) => (a.name < b.name ? -1 : 1));
    }

    /** Makes later exchanges report that this process is shutting down. */
    leave(): void {
        this.isLeaving = true;
    }

    /** Exchanges once with a few randomly chosen peers. */
    async round(): Promise<void> {
        const now = this.options.clock.nowMs();
        const gapMs = now - this.lastRoundAtMs;
        if (gapMs > MembershipLimits.pauseThresholdMs) {
            this.counters.add("membership.paused");
            this.table.shiftUpdateTimes(gapMs - MembershipLimits.roundIntervalMs);
        }
        this.lastRoundAtMs = now;
        this.roundCount += 1;
        this.heartbeat += 1;
        this.table.removeExpired(now);
        await Promise.all(this.pickAddresses().map(address => this.exchangeWith(address)));
    }

    /** Handles the exchange request of a peer and returns the response. */
    handle(message: ExchangeMessage): ExchangeMessage {
        this.receive(message);
        const config = this.options.delegate.configNewerThan(message.self.configRevision);
        return { ...this.createMessage(message.self), ...(config === undefined ? {} : { config }) };
    }

    /** Merges the registrations read from the store. */
    mergeRegistered(members: readonly MemberInfo[]): void {
        const now = this.options.clock.nowMs();
        for (const info of members) {
            if (info.name === this.options.self.name) {
                this.handleOwnName(info);
            } else {
                this.table.mergeRegistered(info, now);
            }
        }
    }

    /** Exchanges every second until interrupted. */
    run(): Effect.Effect<never> {
        return repeatStep(async () => {
            const startMs = this.options.clock.nowMs();
            await this.round();
            return Math.max(1, MembershipLimits.roundIntervalMs - (this.options.clock.nowMs() - startMs));
        });
    }

    private async exchangeWith(address: string): Promise<void> {
        const response = await this.options.exchange.exchange(address, this.createMessage());
        this.counters.add(response.isOk() ? "membership.exchanged" : "membership.failed");
        if (response.isOk()) {
            this.receive(response.value);
        }
    }

    private receive(message: ExchangeMessage): void {
        const { delegate, clock, self } = this.options;
        for (const info of [message.self, ...message.members]) {
            if (info.name === self.name) {
                this.handleOwnName(info);
            } else {
                this.table.merge(info, clock.nowMs());
            }
        }
        delegate.onContact();
        if (message.leavingTargets.length > 0) {
            delegate.onLeavingTargets(message.leavingTargets);
        }
        if (message.config !== undefined) {
            delegate.onConfig(message.config);
        }
    }

    /** Handles a member that has the name of this process. */
    private handleOwnName(info: MemberInfo): void {
        if (info.incarnation <= this.incarnation) {
            return;
        }
        if (info.address === this.options.self.address) {
            // An earlier run of this process, started while the clock was ahead; its incarnation must be exceeded.
            this.incarnation = info.incarnation + 1;
            return;
        }
        this.counters.add("membership.replaced");
        this.successor = info;
    }

    private createMessage(receiver?: MemberInfo): ExchangeMessage {
        const views = this.table.views(this.options.clock.nowMs());
        // A replaced process that resumes after a pause learns of its successor from this message.
        const successor = views.filter(
            view => view.name === receiver?.name && view.incarnation > receiver.incarnation,
        );
        const alive = views.filter(view => view.state === MemberState.Alive && view.name !== receiver?.name);
        const picked = this.pickRandom(alive, MembershipLimits.maxMembersPerMessage - successor.length);
        const members = [...successor, ...picked].map(({ state, ageMs, ...info }) => {
            void state;
            void ageMs;
            return info;
        });
        return { self: this.self, members, leavingTargets: this.options.delegate.leavingTargets() };
    }

    private pickAddresses(): string[] {
        const reachable = [
            ...this.membersInState(MemberState.Alive),
            ...this.membersInState(MemberState.Suspected),
        ];
        const picked = this.pickRandom(reachable, MembershipLimits.peersPerRound).map(view => view.address);
        const isHealing = this.roundCount % MembershipLimits.healIntervalRounds === 0;
        if (picked.length === 0 || isHealing) {
            const known = new Set(reachable.map(view => view.address));
            const gone = this.membersInState(MemberState.Gone).map(view => view.address);
            const lost = [...new Set([...gone, ...this.options.seeds])].filter(
                address => !known.has(address) && address !== this.options.self.address,
            );
            picked.push(...this.pickRandom(lost, picked.length === 0 ? MembershipLimits.peersPerRound : 1));
        }
        return picked;
    }

    private membersInState(state: MemberState): MemberView[] {
        return this.table.views(this.options.clock.nowMs()).filter(view => view.state === state);
    }

    /** Up to `count` random items. */
    private pickRandom<I>(items: readonly I[], count: number): I[] {
        const rest = [...items];
        const picked: I[] = [];
        while (rest.length > 0 && picked.length < count) {
            picked.push(...rest.splice(this.options.random.below(rest.length), 1));
        }
        return picked;
    }
}
