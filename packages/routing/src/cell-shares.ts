import { CellName } from "@samphireward/core/cell-name";
import type { ShareUpdate } from "./share-update.js";
import { WorkerShare } from "./worker-share.js";

/** The entry side of one cell: its epoch, the newest update applied, and the share of each worker. */
export class CellShares {
    epoch = 0;
    /** Slots of all workers that the owner has planned for this process. */
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

    /** Refuses updates of lower epochs from now on. Shares already held stay valid until they expire. */
    raiseEpoch(epoch: number): void {
        if (epoch > this.epoch) {
            this.epoch = epoch;
            this.sequence = 0;
            this.confirmedSequence = 0;
        }
    }

    /** Gives up all shares and refuses every update from now on. */
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

    /** Replaces all shares of the cell. `sentAtMs` is when the answered report was sent. */
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

    /** Forgets workers that have been withdrawn and are no longer in use. */
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

    /** The highest sequence that may be confirmed now. */
    confirmableSequence(): number {
        const isWithin = [...this.workers.values()].every(share => share.isWithinShare);
        if (isWithin) {
            this.confirmedSequence = this.sequence;
        }
        return this.confirmedSequence;
    }

    /** Slots of all workers that may be used now. */
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
