import type { Clock } from "@samphireward/core/clock";
import type { Tables } from "@samphireward/core/tables";
import type { RequestSettings } from "./request-settings.js";
import type { ShareRegistry } from "./share-registry.js";
import { TargetState } from "./target-state.js";
import type { WorkerShare } from "./worker-share.js";

/** The states of all targets, by share. A target that several pools use has one state. */
export class TargetRegistry {
    private readonly states = new Map<WorkerShare, TargetState>();

    private constructor(
        private readonly clock: Clock,
        private readonly shares: ShareRegistry,
        private readonly settings: RequestSettings,
    ) {}

    static create(clock: Clock, shares: ShareRegistry, settings: RequestSettings): TargetRegistry {
        return new TargetRegistry(clock, shares, settings);
    }

    /** Removes targets whose shares are no longer in the share registry. */
    refresh(): void {
        const known = new Set(this.shares.allShares());
        for (const [share, state] of this.states) {
            if (!known.has(share)) {
                state.connections.retire();
                this.states.delete(share);
            }
        }
    }

    /** The targets of a pool in three tiers: the data centre, the rest of its region, and other regions. */
    tiersOf(poolName: string, tables: Tables, dataCentre: string): TargetState[][] {
        const pool = tables.pools.get(poolName);
        const region = tables.zones.get(dataCentre)?.region;
        const tiers: [TargetState[], TargetState[], TargetState[]] = [[], [], []];
        for (const share of pool === undefined ? [] : this.shares.sharesOf(pool)) {
            const isSameRegion = tables.zones.get(share.dataCentre)?.region === region;
            const isOwn = share.dataCentre === dataCentre;
            tiers[isOwn ? 0 : isSameRegion ? 1 : 2].push(this.stateFor(share));
        }
        return tiers;
    }

    /** Closes connections that are too old or exceed their share. */
    trim(nowMs: number): void {
        this.states.forEach(state => state.connections.trim(nowMs));
    }

    retireAll(): void {
        this.states.forEach(state => state.connections.retire());
    }

    private stateFor(share: WorkerShare): TargetState {
        const state = this.states.get(share) ?? TargetState.create(share, this.clock, this.settings);
        this.states.set(share, state);
        return state;
    }
}
