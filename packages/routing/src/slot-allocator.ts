import type { Clock } from "@samphireward/core/clock";
import type { AllocatedWorker } from "./allocated-worker.js";
import { divideSlots } from "./divide-slots.js";
import { fairWeights } from "./fair-weights.js";
import type { GrantedShare } from "./granted-share.js";
import type { HandOverGrant } from "./hand-over-grant.js";
import { OutstandingGrants } from "./outstanding-grants.js";
import type { ShareHello } from "./share-hello.js";
import type { ShareReport } from "./share-report.js";
import type { ShareUpdate } from "./share-update.js";
import { tieBreakHash } from "./tie-break-hash.js";

interface AllocatorOptions {
    readonly clock: Clock;
    readonly cell: string;
    readonly epoch: number;
    readonly ttlMs: number;
    /** Added to the time to live, as an allowance for clocks that run at different rates. */
    readonly marginMs: number;
    /** Whether an earlier owner may have granted shares that are still valid. */
    readonly isTakeover: boolean;
    /** Whether this process still considers itself the owner; nothing is granted otherwise. */
    readonly mayGrant: () => boolean;
    /** All grants of the previous owner, if it handed over in a planned stop: then no waiting time is needed. */
    readonly handedOver?: readonly HandOverGrant[] | undefined;
}

interface EntryState {
    report: number;
    demand: number;
}

/**
 * Divides the slots and connections of a cell's workers among the entry processes by demand. For each worker,
 * the total that the entry processes may still be using never exceeds the limits of the worker.
 */
export class SlotAllocator {
    private readonly entries = new Map<string, EntryState>();
    private workers = new Map<string, AllocatedWorker>();
    /** By worker, then by entry. Kept for withdrawn workers until the grants have expired. */
    private readonly outstanding = new Map<string, Map<string, OutstandingGrants>>();
    private readonly plan = new Map<string, Map<string, number>>();
    private isPlanStale = true;
    /** One sequence for all entry processes, so that it keeps increasing when one detaches and attaches again. */
    private sequence = 0;
    protected readonly startedAtMs: number;

    protected constructor(protected readonly options: AllocatorOptions) {
        this.startedAtMs = options.clock.nowMs();
        options.handedOver?.forEach(grant => this.adoptHandOver(grant));
    }

    static create(options: AllocatorOptions): SlotAllocator {
        return new SlotAllocator(options);
    }

    setWorkers(workers: readonly AllocatedWorker[]): void {
        this.workers = new Map(workers.map(worker => [worker.worker, worker]));
        this.isPlanStale = true;
    }

    /**
     * Registers an entry process that opened its stream. Adopts its claims of earlier epochs while they can be
     * valid.
     */
    attach(hello: ShareHello): void {
        const state = this.entries.get(hello.entry) ?? { report: 0, demand: 0 };
        state.report = hello.report;
        this.entries.set(hello.entry, state);
        this.isPlanStale = true;
        if (this.isAwaitingClaims()) {
            hello.claims.forEach(claim => this.adoptClaim(hello.entry, claim));
        }
    }

    /** Processes a report. Slots of a confirmed reduction become free immediately. */
    report(entry: string, report: ShareReport): void {
        const state = this.entries.get(entry);
        if (state === undefined) {
            return;
        }
        state.report = Math.max(state.report, report.report);
        this.isPlanStale ||= state.demand !== report.demand;
        state.demand = report.demand;
        if (report.epoch === this.options.epoch) {
            this.outstanding.forEach(byEntry => byEntry.get(entry)?.confirm(report.confirmedSequence));
        }
    }

    /** Frees all shares of an entry process that is stopping and no longer uses them. */
    release(entry: string): void {
        this.detach(entry);
        this.outstanding.forEach(byEntry => byEntry.delete(entry));
    }

    /** Removes an entry process whose stream ended. Its shares stay counted until they expire. */
    detach(entry: string): void {
        this.entries.delete(entry);
        this.isPlanStale = true;
    }

    /** Renews the shares of one entry process. Returns `undefined` if nothing may be granted. */
    update(entry: string): ShareUpdate | undefined {
        const state = this.entries.get(entry);
        if (state === undefined || !this.options.mayGrant()) {
            return undefined;
        }
        this.expire();
        this.refreshPlan();
        this.sequence += 1;
        const sequence = this.sequence;
        const { cell, epoch } = this.options;
        let plannedSlots = 0;
        const shares: GrantedShare[] = [];
        for (const worker of this.workers.values()) {
            const planned = this.plannedLimits(worker, entry);
            plannedSlots += planned.slots;
            const share = this.grant(worker, entry, planned, sequence);
            if (share !== undefined) {
                shares.push(share);
            }
        }
        return { cell, epoch, sequence, report: state.report, shares, plannedSlots };
    }

    /** Stops granting and returns all grants that may still be in use, for the next owner. */
    handOver(): HandOverGrant[] {
        this.entries.clear();
        this.expire();
        const nowMs = this.options.clock.nowMs();
        return [...this.outstanding].flatMap(([worker, byEntry]) =>
            [...byEntry].map(([entry, { slots, connections, lastExpiresAtMs }]) => {
                return { worker, entry, slots, connections, expiresInMs: Math.ceil(lastExpiresAtMs - nowMs) };
            }),
        );
    }

    /** Whether unclaimed shares of an earlier owner may still be in use. */
    protected isAwaitingClaims(): boolean {
        const { clock, ttlMs, marginMs, isTakeover, handedOver } = this.options;
        return isTakeover && handedOver === undefined && clock.nowMs() < this.startedAtMs + ttlMs + marginMs;
    }

    /** The part of a worker's limits that no other entry process may still be using. */
    protected availableFor(worker: AllocatedWorker, entry: string): { slots: number; connections: number } {
        let { slots, connections } = worker;
        for (const [other, grants] of this.outstanding.get(worker.worker) ?? []) {
            if (other !== entry) {
                slots -= grants.slots;
                connections -= grants.connections;
            }
        }
        return { slots: Math.max(0, slots), connections: Math.max(0, connections) };
    }

    /** The duration of the handover is not subtracted, because no common clock measures it. */
    private adoptHandOver({ worker, entry, slots, connections, expiresInMs }: HandOverGrant): void {
        const expiresAtMs = this.startedAtMs + expiresInMs + this.options.marginMs;
        this.grantsFor(worker, entry).add({ sequence: 0, slots, connections, expiresAtMs });
    }

    private adoptClaim(entry: string, claim: GrantedShare): void {
        const isOwn = claim.epoch >= this.options.epoch;
        if (isOwn) {
            return;
        }
        const { ttlMs, marginMs, clock } = this.options;
        const expiresAtMs = clock.nowMs() + Math.min(claim.expiresInMs, ttlMs) + marginMs;
        const { slots, connections } = claim;
        this.grantsFor(claim.worker, entry).add({ sequence: 0, slots, connections, expiresAtMs });
    }

    private grant(
        worker: AllocatedWorker,
        entry: string,
        planned: { readonly slots: number; readonly connections: number },
        sequence: number,
    ): GrantedShare | undefined {
        const available = this.availableFor(worker, entry);
        const slots = Math.min(planned.slots, available.slots);
        const connections = Math.min(planned.connections, available.connections);
        if (slots === 0 || connections === 0) {
            return undefined;
        }
        const { ttlMs, marginMs, clock, epoch } = this.options;
        const expiresAtMs = clock.nowMs() + ttlMs + marginMs;
        this.grantsFor(worker.worker, entry).add({ sequence, slots, connections, expiresAtMs });
        const { serviceAddress } = worker;
        return { worker: worker.worker, serviceAddress, slots, connections, epoch, expiresInMs: ttlMs };
    }

    private plannedLimits(worker: AllocatedWorker, entry: string): { slots: number; connections: number } {
        if (worker.leaving) {
            return { slots: 0, connections: 0 };
        }
        if (this.isAwaitingClaims()) {
            const grants = this.grantsFor(worker.worker, entry);
            return { slots: grants.slots, connections: grants.connections };
        }
        const slots = this.plan.get(worker.worker)?.get(entry) ?? 0;
        return { slots, connections: Math.floor((worker.connections * slots) / worker.slots) };
    }

    private grantsFor(worker: string, entry: string): OutstandingGrants {
        const byEntry = this.outstanding.get(worker) ?? new Map<string, OutstandingGrants>();
        this.outstanding.set(worker, byEntry);
        const grants = byEntry.get(entry) ?? OutstandingGrants.create();
        byEntry.set(entry, grants);
        return grants;
    }

    private expire(): void {
        const nowMs = this.options.clock.nowMs();
        for (const [worker, byEntry] of this.outstanding) {
            for (const [entry, grants] of byEntry) {
                grants.expire(nowMs);
                if (grants.isEmpty) {
                    byEntry.delete(entry);
                }
            }
            if (byEntry.size === 0) {
                this.outstanding.delete(worker);
            }
        }
    }

    private refreshPlan(): void {
        if (!this.isPlanStale || this.isAwaitingClaims()) {
            return;
        }
        this.isPlanStale = false;
        const workers = [...this.workers.values()].filter(worker => !worker.leaving);
        const total = workers.reduce((sum, worker) => sum + worker.slots, 0);
        const demands = new Map([...this.entries].map(([name, state]) => [name, state.demand]));
        const weights = [...fairWeights(demands, total)];
        const previousPlan = new Map(this.plan);
        this.plan.clear();
        for (const { worker, slots } of workers) {
            const quotas = weights.map(([entry, weight]) => ({
                previousSlots: previousPlan.get(worker)?.get(entry) ?? 0,
                quotaSlots: weight * slots,
                tieBreak: tieBreakHash(worker, entry),
            }));
            const divided = divideSlots(quotas, slots);
            this.plan.set(worker, new Map(weights.map(([entry], index) => [entry, divided[index] ?? 0])));
        }
    }
}
