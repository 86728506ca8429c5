import type { Clock } from "@samphireward/core/clock";
import type { CellLimits } from "@samphireward/jobs/cell-limits";
import type { QueueRule } from "@samphireward/jobs/queue-rule";
import type { WorkerEntry } from "@samphireward/jobs/worker-entry";
import { CellLease } from "./cell-lease.js";
import { CellOwner } from "./cell-owner.js";
import type { EventLog } from "./event-log.js";
import type { MetadataStore } from "./metadata-store.js";
import type { Metrics } from "./metrics.js";
import type { OwnerRecord } from "./owner-record.js";
import type { PermitSource } from "./permit-source.js";
import type { StoredOwner } from "./stored-owner.js";
import type { WorkerClientFactory } from "./worker-client-factory.js";

/** A process claims a free cell after its round trip to the store times this, so that one near the store wins. */
const ClaimDelayRoundTrips = 8;
const MinClaimDelayMs = 30;
const MaxClaimDelayMs = 900;
/** Added for a VM without processors, less for one with more: an owner on a small VM gives its orders late. */
const SmallVmDelayMs = 150;
/** Added for each other cell that the process owns, so that cells spread over VMs. */
const OtherCellDelayMs = 400;
/** Cores from which a VM is as good as any for an owner. */
const SufficientProcessors = 1;
/** Random part of the delay, so that equals do not claim at the same moment. */
const MaxClaimJitterMs = 40;
const RetryDelayMs = 150;

/** Everything that a candidate needs. */
interface CandidateContext {
    readonly cell: number;
    readonly node: string;
    readonly instanceId: string;
    readonly address: string;
    readonly store: MetadataStore;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly limits: CellLimits;
    readonly createWorkerClient: WorkerClientFactory;
    readonly permits: PermitSource;
    readonly readRules: () => readonly QueueRule[];
    readonly readWorkers: () => Promise<Iterable<WorkerEntry>>;
    readonly roundTripMs: () => number;
    readonly processors: number;
    /** Cells that this process owns. */
    readonly ownedCells: () => number;
}

/** Claims a cell when it is free, and owns it until another process takes over or this one stops. */
export class CellCandidate {
    private owned: { readonly lease: CellLease; readonly owner: CellOwner } | undefined;
    private record: StoredOwner | undefined;
    private isOwnerRead = false;
    private claimTimer: NodeJS.Timeout | undefined;
    private isClaiming = false;
    private isStopped = false;

    private constructor(private readonly context: CandidateContext) {}

    static create(context: CandidateContext): CellCandidate {
        return new CellCandidate(context);
    }

    /** The owner in this process, once it has read the cell's state. */
    get owner(): CellOwner | undefined {
        return this.owned?.owner.ready === true ? this.owned.owner : undefined;
    }

    /** The owner that the store names. */
    get ownerRecord(): OwnerRecord | undefined {
        return this.record?.owner;
    }

    /** Takes note of the owner key; `undefined`: nobody owns the cell. */
    updateOwner(record: StoredOwner | undefined): void {
        const { log, cell, instanceId: life } = this.context;
        const owner = record?.owner;
        if (!this.isOwnerRead || owner?.life !== this.ownerRecord?.life) {
            log.write("owner-seen", { cell, owner: owner?.node, epoch: owner?.epoch });
        }
        this.isOwnerRead = true;
        this.record = record;
        if (owner !== undefined && owner.life !== life && this.owned !== undefined) {
            if (owner.epoch > this.owned.lease.epoch) {
                this.loseOwnership("another process owns the cell");
            }
        }
        this.scheduleClaim();
    }

    /** Stops owning and hands the cell over. */
    async stop(): Promise<void> {
        this.isStopped = true;
        clearTimeout(this.claimTimer);
        const { owned } = this;
        this.owned = undefined;
        if (owned !== undefined) {
            await owned.owner.stop();
            await owned.lease.release();
            this.context.metrics.ownership.inc({ event: "released" });
            this.context.log.write("cell-released", { cell: this.context.cell, epoch: owned.lease.epoch });
        }
    }

    private scheduleClaim(): void {
        clearTimeout(this.claimTimer);
        // A record of this node without ownership is that of an earlier life, or of a claim without an answer.
        const isOurs = this.ownerRecord?.node === this.context.node;
        if (this.isStopped || this.isClaiming || this.owned !== undefined) {
            return;
        }
        if (this.ownerRecord !== undefined && !isOurs) {
            return;
        }
        const { roundTripMs, processors, ownedCells } = this.context;
        const processorShortfall = 1 - Math.min(SufficientProcessors, processors) / SufficientProcessors;
        const wanted =
            roundTripMs() * ClaimDelayRoundTrips +
            processorShortfall * SmallVmDelayMs +
            ownedCells() * OtherCellDelayMs;
        const delayMs = Math.min(MaxClaimDelayMs, Math.max(MinClaimDelayMs, wanted));
        this.claimTimer = setTimeout(
            () => void this.claim(),
            isOurs ? 0 : delayMs + Math.random() * MaxClaimJitterMs,
        );
    }

    private async claim(): Promise<void> {
        const { log, cell } = this.context;
        this.isClaiming = true;
        const lease = await CellLease.create(this.context, this.record?.revision ?? 0);
        this.isClaiming = false;
        if (lease.isErr()) {
            log.write("claim-failed", { cell, failure: lease.error });
            this.claimTimer = setTimeout(() => this.scheduleClaim(), RetryDelayMs);
            return;
        }
        if (lease.value === undefined) {
            log.write("claim-lost", { cell });
            this.claimTimer = setTimeout(() => this.scheduleClaim(), RetryDelayMs);
            return;
        }
        await this.startOwner(lease.value);
    }

    private async startOwner(lease: CellLease): Promise<void> {
        const { readRules, readWorkers: readEntries, cell, log, metrics } = this.context;
        if (this.isStopped) {
            await lease.release();
            return;
        }
        metrics.ownership.inc({ event: "claimed" });
        log.write("cell-claimed", { cell, epoch: lease.epoch });
        const onLost = (reason: string): void => {
            if (this.owned?.lease === lease) {
                this.loseOwnership(reason);
            }
        };
        const owner = CellOwner.create({
            ...this.context,
            epoch: lease.epoch,
            commits: lease.commits,
            onLost,
        });
        this.owned = { lease, owner };
        void lease.keepAlive(onLost);
        await owner.start(readRules, readEntries);
    }

    private loseOwnership(reason: string): void {
        const { owned } = this;
        if (owned === undefined) {
            return;
        }
        this.owned = undefined;
        owned.owner.halt();
        owned.lease.stop();
        this.context.metrics.ownership.inc({ event: "lost" });
        this.context.log.write("cell-lost", { cell: this.context.cell, epoch: owned.lease.epoch, reason });
        this.scheduleClaim();
    }
}
