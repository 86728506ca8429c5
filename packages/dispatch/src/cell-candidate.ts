import type { Clock } from "@samphireward/core/clock";
import type { CellLimits } from "@samphireward/jobs/cell-limits";
import type { QueueRule } from "@samphireward/jobs/queue-rule";
import type { StartOrderName } from "@samphireward/jobs/start-order-name";
import type { WorkerEntry } from "@samphireward/jobs/worker-entry";
import { CellLease } from "./cell-lease.js";
import { CellOwner } from "./cell-owner.js";
import { claimDelayMs } from "./claim-delay-ms.js";
import type { EvacuationSource } from "./evacuation-source.js";
import type { EventLog } from "./event-log.js";
import type { MetadataStore } from "./metadata-store.js";
import type { Metrics } from "./metrics.js";
import { ownerLeaseTtlMs } from "./owner-lease-ttl-ms.js";
import type { OwnerRecord } from "./owner-record.js";
import type { PermitSource } from "./permit-source.js";
import { rankOfCell } from "./rank-of-cell.js";
import { runInBackground } from "./run-in-background.js";
import type { StoredOwner } from "./stored-owner.js";
import type { TakeoverChecker } from "./takeover-checker.js";
import type { WorkerClientFactory } from "./worker-client-factory.js";

/** Upper bound of the random part of the delay, so that equal processes do not claim at the same moment. */
const MaxClaimJitterMs = 40;
const RetryDelayMs = 150;
/**
 * A process that starts again owns its cell at once. It may have started tasks just before on workers that had started
 * again unnoticed, whose leases last longer than was counted, so it waits as long as another process would have waited for
 * the end of the owner's lease.
 */
const RestartWaitMs = ownerLeaseTtlMs;

/** Dependencies and identity of a candidate. */
interface CandidateContext {
    readonly cell: number;
    /** Cells of the layout in force. */
    readonly cellCount: () => number;
    readonly node: string;
    readonly instanceId: string;
    readonly address: string;
    readonly takeovers: TakeoverChecker;
    readonly store: MetadataStore;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly limits: CellLimits;
    readonly startOrder?: StartOrderName | undefined;
    readonly reportsPriorities?: boolean;
    readonly createWorkerClient: WorkerClientFactory;
    readonly permits: PermitSource;
    readonly evacuations?: EvacuationSource | undefined;
    readonly readRules: () => readonly QueueRule[];
    /** Version of the configuration that the rules are from. */
    readonly readConfigVersion?: () => number | undefined;
    readonly readWorkers: () => Promise<Iterable<WorkerEntry>>;
    readonly roundTripMs: () => number;
    readonly processors: number;
    /** Cells that this process owns or is claiming, except this one. */
    readonly otherCellCount: () => number;
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
        return this.owned?.owner.isReady === true ? this.owned.owner : undefined;
    }

    /** Whether this process owns the cell, reads its state, or is claiming it. */
    get isClaimed(): boolean {
        return this.owned !== undefined || this.isClaiming;
    }

    /** Epoch under which this process owns the cell; undefined if it does not. */
    get ownedEpoch(): number | undefined {
        return this.owned?.lease.epoch;
    }

    /** The owner recorded in the store. */
    get ownerRecord(): OwnerRecord | undefined {
        return this.record?.owner;
    }

    /** Handles a read or a change of the owner key; `undefined` if the key does not exist. */
    updateOwner(record: StoredOwner | undefined): void {
        const { log, cell, instanceId } = this.context;
        const owner = record?.owner;
        if (!this.isOwnerRead || owner?.life !== this.ownerRecord?.life) {
            log.write("owner-seen", { cell, owner: owner?.node, epoch: owner?.epoch });
        }
        this.isOwnerRead = true;
        this.record = record;
        if (owner !== undefined && owner.life !== instanceId && this.owned !== undefined) {
            if (owner.epoch > this.owned.lease.epoch) {
                this.loseOwnership("another process owns the cell");
            }
        }
        this.scheduleClaim();
    }

    /** Writes outstanding progress, releases the cell and stops claiming it. */
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

    /**
     * Whether the owner key names this node. While it does not own the cell, an earlier process of the node has written
     * that, or a claim whose response was lost.
     */
    private get isOwnRecord(): boolean {
        return this.ownerRecord?.node === this.context.node;
    }

    private scheduleClaim(): void {
        clearTimeout(this.claimTimer);
        const { isOwnRecord } = this;
        if (this.isStopped || this.isClaiming || this.owned !== undefined) {
            return;
        }
        if (this.ownerRecord !== undefined && !isOwnRecord) {
            return;
        }
        const { cell, node, cellCount, roundTripMs, processors, otherCellCount } = this.context;
        const rank = rankOfCell(cell, cellCount(), node);
        const otherCells = otherCellCount();
        const delayMs = claimDelayMs({ roundTripMs: roundTripMs(), processors, otherCells, rank });
        this.claimTimer = setTimeout(
            () => {
                if (!isOwnRecord && otherCellCount() > otherCells) {
                    // This process has claimed another cell meanwhile, so that others go first for this one.
                    this.scheduleClaim();
                    return;
                }
                runInBackground("claim", this.claim(), this.context.log, reason =>
                    this.loseOwnership(reason),
                );
            },
            isOwnRecord ? 0 : delayMs + Math.random() * MaxClaimJitterMs,
        );
    }

    private async claim(): Promise<void> {
        const { log, cell } = this.context;
        this.isClaiming = true;
        const followsOwnProcess = this.isOwnRecord;
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
        await this.startOwner(lease.value, followsOwnProcess ? RestartWaitMs : 0);
    }

    private async startOwner(lease: CellLease, extraWaitMs: number): Promise<void> {
        const { readRules, readConfigVersion, readWorkers, cell, log, metrics } = this.context;
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
            proof: lease.proof,
            extraWaitMs,
            onLost,
        });
        this.owned = { lease, owner };
        runInBackground("lease", lease.keepAlive(onLost), log, onLost);
        await owner.start(readRules, readWorkers, readConfigVersion);
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
