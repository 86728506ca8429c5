import { CellName } from "@samphireward/core/cell-name";
import type { ShareUpdate } from "./share-update.js";
import { WorkerShare } from "./worker-share.js";

/**
 * Shares that an entry process holds in one cell: the cell's epoch, the latest applied update, and the share of
 * each worker.
 */
export class CellShares {
    epoch = 0;
    /** Slots that the owner has planned for this process, over all workers. */
    plannedSlots = 0;
    private isReleased = false;
    private sequence = 0;
    private confirmedSequence = 0;
    readonly workers = new Map<string, WorkerShare>();

    readonly dataCentre: string;

    private constructor(readonly cell: string) {
        this.dataCentre = CellName.parse(cell).dataCentre;
    }

    static create(cell: string): CellShares {
        return new CellShares(cell);
    }

    /** Rejects updates of lower epochs from now on. Shares already held stay valid until they expire. */
    raiseEpoch(epoch: number): void {
        if (epoch > this.epoch) {
            this.epoch = epoch;
            this.sequence = 0;
            this.confirmedSequence = 0;
        }
    }

    /** Gives up all shares and rejects every update from now on. */
    release(): void {
        this.isReleased = true;
        this.withdraw();
    }

    isNewer(update: ShareUpdate): boolean {
        if (this.isReleased) {
            return false;
        }
        return update.epoch > this.epoch || (update.epoch === this.epoch && update.sequence > this.sequence);
    }

    /** Replaces all shares of the cell. `sentAtMs` is when the report that the update answers was sent. */
    replace(update: ShareUpdate, sentAtMs: number): void {
        this.raiseEpoch(update.epoch);
        this.sequence = update.sequence;
        this.plannedSlots = update.plannedSlots;
        this.withdraw();
        for (const granted of update.shares) {
            const share = this.shareFor(granted.worker);
            share.slots = granted.slots;
            share.connections = granted.connections;
            share.epoch = update.epoch;
            share.expiresAtMs = sentAtMs + granted.expiresInMs;
            share.serviceAddress = granted.serviceAddress;
        }
    }

    /**
     * Removes workers whose shares were withdrawn or expired and are no longer in use. Returns whether any was
     * removed.
     */
    prune(nowMs: number): boolean {
        let removed = false;
        for (const [worker, share] of this.workers) {
            if (!share.isHeld(nowMs) && share.slotsInUse === 0 && share.connectionsOpen === 0) {
                this.workers.delete(worker);
                removed = true;
            }
        }
        return removed;
    }

    /** The highest update sequence that may be confirmed now: it stays back while any use exceeds its share. */
    confirmableSequence(): number {
        const isWithin = [...this.workers.values()].every(share => share.isWithinShare);
        if (isWithin) {
            this.confirmedSequence = this.sequence;
        }
        return this.confirmedSequence;
    }

    /** Slots that may be used now, over all workers. */
    heldSlots(nowMs: number): number {
        return [...this.workers.values()].reduce(
            (sum, share) => sum + (share.isHeld(nowMs) ? share.slots : 0),
            0,
        );
    }

    private withdraw(): void {
        for (const share of this.workers.values()) {
            share.slots = 0;
            share.connections = 0;
        }
    }

    private shareFor(worker: string): WorkerShare {
        const share = this.workers.get(worker) ?? WorkerShare.create(worker, this.dataCentre);
        this.workers.set(worker, share);
        return share;
    }
}
