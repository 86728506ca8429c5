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
import type { PeerNews } from "./peer-news.js";
import { repeatStep } from "./repeat-step.js";

interface Options {
    /** This process; its heartbeat, configuration revision and `leaving` are kept here. */
    readonly self: Omit<MemberInfo, "heartbeat" | "configRevision" | "leaving">;
    /** Addresses of peers from the settings. */
    readonly seeds: readonly string[];
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly exchange: PeerExchange;
    readonly news: PeerNews;
}

/** The processes of the system as this process has heard of them by exchanges and from the store. */
export class Membership {
    readonly counters = Counters.create();
    private readonly table = MemberTable.create();
    private incarnation: number;
    private heartbeat = 0;
    private isLeaving = false;
    private successor: MemberInfo | undefined;
    private rounds = 0;
    private lastRoundMs: number;

    private constructor(private readonly options: Options) {
        this.incarnation = options.self.incarnation;
        this.lastRoundMs = options.clock.nowMs();
    }

    static create(options: Options): Membership {
        return new Membership(options);
    }

    get self(): MemberInfo {
        return {
            ...this.options.self,
            incarnation: this.incarnation,
            heartbeat: this.heartbeat,
            configRevision: this.options.news.configRevision(),
            leaving: this.isLeaving,
        };
    }

    /** A process with this one's name, a higher incarnation and another address: this one was replaced. */
    get replacedBy(): MemberInfo | undefined {
        return this.successor;
    }

    /** This process and all others that are remembered, by name. */
    get members(): MemberView[] {
        const self = { ...this.self, state: MemberState.Alive, ageMs: 0 };
        const others = this.table.views(this.options.clock.nowMs());
        return [self, ...others].sort((a, b) => (a.name < b.name ? -1 : 1));
    }

    /** Tells peers from now on that this process is shutting down. */
    leave(): void {
        this.isLeaving = true;
    }

    /** Exchanges once with a few random peers. */
    async round(): Promise<void> {
        const now = this.options.clock.nowMs();
        const gapMs = now - this.lastRoundMs;
        if (gapMs > MembershipLimits.pauseMs) {
            this.counters.add("membership.paused");
            this.table.excuse(gapMs - MembershipLimits.roundMs);
        }
        this.lastRoundMs = now;
        this.rounds += 1;
        this.heartbeat += 1;
        this.table.forgetOld(now);
        await Promise.all(this.pickAddresses().map(address => this.exchangeWith(address)));
    }

    /** Answers a peer's exchange. */
    handle(message: ExchangeMessage): ExchangeMessage {
        this.receive(message);
        const config = this.options.news.configAfter(message.self.configRevision);
        return { ...this.message(message.self), ...(config === undefined ? {} : { config }) };
    }

    /** Merges the registrations that were read from the store. */
    mergeRegistered(members: readonly MemberInfo[]): void {
        const now = this.options.clock.nowMs();
        for (const info of members) {
            if (info.name === this.options.self.name) {
                this.meetOwnName(info);
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
            return Math.max(1, MembershipLimits.roundMs - (this.options.clock.nowMs() - startMs));
        });
    }

    private async exchangeWith(address: string): Promise<void> {
        const answer = await this.options.exchange.exchange(address, this.message());
        this.counters.add(answer.isOk() ? "membership.exchanged" : "membership.failed");
        if (answer.isOk()) {
            this.receive(answer.value);
        }
    }

    private receive(message: ExchangeMessage): void {
        const { news, clock, self } = this.options;
        for (const info of [message.self, ...message.members]) {
            if (info.name === self.name) {
                this.meetOwnName(info);
            } else {
                this.table.merge(info, clock.nowMs());
            }
        }
        news.onContact();
        if (message.leavingTargets.length > 0) {
            news.onLeavingTargets(message.leavingTargets);
        }
        if (message.config !== undefined) {
            news.onConfig(message.config);
        }
    }

    /** A peer remembers a process with this one's name. */
    private meetOwnName(info: MemberInfo): void {
        if (info.incarnation <= this.incarnation) {
            return;
        }
        if (info.address === this.options.self.address) {
            // An earlier run of this process, started by a clock that was ahead.
            this.incarnation = info.incarnation + 1;
            return;
        }
        this.counters.add("membership.replaced");
        this.successor = info;
    }

    private message(receiver?: MemberInfo): ExchangeMessage {
        const views = this.table.views(this.options.clock.nowMs());
        // A replaced process that goes on after a pause is told of its successor.
        const successor = views.filter(
            view => view.name === receiver?.name && view.incarnation > receiver.incarnation,
        );
        const alive = views.filter(view => view.state === MemberState.Alive && view.name !== receiver?.name);
        const picked = this.pick(alive, MembershipLimits.digest - successor.length);
        const members = [...successor, ...picked].map(({ state, ageMs, ...info }) => {
            void state;
            void ageMs;
            return info;
        });
        return { self: this.self, members, leavingTargets: this.options.news.leavingTargets() };
    }

    private pickAddresses(): string[] {
        const reachable = [...this.others(MemberState.Alive), ...this.others(MemberState.Suspected)];
        const picked = this.pick(reachable, MembershipLimits.fanOut).map(view => view.address);
        const isHealing = this.rounds % MembershipLimits.healEveryRounds === 0;
        if (picked.length === 0 || isHealing) {
            const known = new Set(reachable.map(view => view.address));
            const gone = this.others(MemberState.Gone).map(view => view.address);
            const lost = [...new Set([...gone, ...this.options.seeds])].filter(
                address => !known.has(address) && address !== this.options.self.address,
            );
            picked.push(...this.pick(lost, picked.length === 0 ? MembershipLimits.fanOut : 1));
        }
        return picked;
    }

    private others(state: MemberState): MemberView[] {
        return this.table.views(this.options.clock.nowMs()).filter(view => view.state === state);
    }

    /** Up to `count` random items. */
    private pick<I>(items: readonly I[], count: number): I[] {
        const rest = [...items];
        const picked: I[] = [];
        while (rest.length > 0 && picked.length < count) {
            picked.push(...rest.splice(this.options.random.below(rest.length), 1));
        }
        return picked;
    }
}
