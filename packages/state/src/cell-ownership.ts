import type { Clock } from "@samphireward/core/clock";
import { Counters } from "@samphireward/core/counters";
import type * as Effect from "effect/Effect";
import { CellKeys } from "./cell-keys.js";
import { decodeJson } from "./decode-json.js";
import type { KeyValueStore } from "./key-value-store.js";
import type { KvEntry } from "./kv-entry.js";
import { nextEpoch } from "./next-epoch.js";
import { OwnerRecord } from "./owner-record.js";
import type { ProcessLease } from "./process-lease.js";
import { repeatStep } from "./repeat-step.js";
import { StoreErrorKind } from "./store-error-kind.js";

interface Options {
    readonly store: KeyValueStore;
    readonly lease: ProcessLease;
    readonly clock: Clock;
    readonly cell: string;
    /** Name of this process, and the address published to entry processes. */
    readonly owner: string;
    readonly address: string;
    /** Whether this process is the cell's preferred owner among the live schedulers. */
    readonly isPreferred: () => boolean;
    /** Called with the epoch after the cell is acquired, and with `undefined` after it is lost. */
    readonly onChange?: (epoch: number | undefined) => void;
    /** Additional time that a process that is not preferred waits before it acquires a free cell. */
    readonly nonPreferredDelayMs?: number;
}

interface Claim {
    readonly epoch: number;
    readonly leaseId: string;
    readonly revision: number;
}

/** Attempts of one store call whose response is lost, before the next step starts over. */
const MaxAttempts = 3;
const CheckIntervalMs = 500;
const AcquireIntervalMs = 250;
/** Longest wait of one watch on the owner key. A pending watch counts as one call against the store's budget. */
const MaxWatchWaitMs = 5000;

/** Acquires one cell with an incremented epoch, holds it under the process lease and detects its loss. */
export class CellOwnership {
    readonly counters = Counters.create();
    private readonly keys: CellKeys;
    private claim: Claim | undefined;
    private currentOwner: OwnerRecord | undefined;
    private lastSeenRevision = 0;
    private freeSinceMs: number | undefined;
    private isStopping = false;
    private acquiring: Promise<void> | undefined;

    private constructor(private readonly options: Options) {
        this.keys = CellKeys.create(options.cell);
    }

    static create(options: Options): CellOwnership {
        return new CellOwnership(options);
    }

    /** Epoch in which this process owns the cell, as far as it knows; otherwise `undefined`. */
    get epoch(): number | undefined {
        return this.isClaimLeaseCurrent() ? this.claim?.epoch : undefined;
    }

    /** The cell's owner as last read; `undefined` when there is none. */
    get owner(): OwnerRecord | undefined {
        return this.currentOwner;
    }

    /** Whether new work may be granted now: this process owns the cell and its lease is certainly valid. */
    canGrant(): boolean {
        return this.epoch !== undefined && this.options.lease.isValid();
    }

    /**
     * Checks the cell once and acquires it when it is free. Returns the delay until the next check in milliseconds;
     * 0 when another process owns the cell.
     */
    async step(): Promise<number> {
        this.detectLoss();
        if (this.claim !== undefined || this.isStopping || !this.options.lease.isValid()) {
            return CheckIntervalMs;
        }
        const read = await this.options.store.get(this.keys.owner);
        if (read.isErr()) {
            return CheckIntervalMs;
        }
        this.lastSeenRevision = Math.max(this.lastSeenRevision, read.value?.revision ?? 0);
        if (!this.isFree(read.value)) {
            this.freeSinceMs = undefined;
            return 0;
        }
        if (this.mayAcquire() && !this.isStopping) {
            this.acquiring = this.acquire(read.value?.revision ?? 0);
            await this.acquiring;
        }
        return AcquireIntervalMs;
    }

    /** Gives up ownership because the log or a worker has reported a higher epoch. */
    markDeposed(epoch: number): void {
        if (this.claim?.epoch === epoch) {
            this.loseOwnership();
        }
    }

    /** Gives up ownership on a planned stop, so that the next owner does not wait for the lease to expire. */
    async release(): Promise<void> {
        this.isStopping = true;
        // A claim that is under way may still write the owner key.
        await this.acquiring;
        const claim = this.claim;
        if (claim !== undefined) {
            this.loseOwnership();
            await this.deleteOwner(claim.revision);
        }
    }

    /** Acquires the cell, and acquires it again after a loss, until interrupted. */
    run(): Effect.Effect<never> {
        return repeatStep(async () => {
            const pauseMs = await this.step();
            return pauseMs > 0 ? pauseMs : this.waitForOwnerChange();
        });
    }

    private async deleteOwner(revision: number): Promise<void> {
        for (let attempt = 0; attempt < MaxAttempts; attempt += 1) {
            const deleted = await this.options.store.delete(this.keys.owner, revision);
            // A conflict on a repeated deletion shows that an earlier attempt took effect.
            if (deleted.isOk() || deleted.error.kind === StoreErrorKind.Conflict) {
                return;
            }
        }
    }

    /** Waits for a change of the owner key, instead of polling it. */
    private async waitForOwnerChange(): Promise<number> {
        const result = await this.options.store.watch(this.keys.owner, this.lastSeenRevision, MaxWatchWaitMs);
        if (result.isErr()) {
            return CheckIntervalMs;
        }
        this.lastSeenRevision = Math.max(this.lastSeenRevision, result.value.revision);
        return 1;
    }

    private isFree(entry: KvEntry | undefined): boolean {
        if (entry === undefined) {
            this.currentOwner = undefined;
            return true;
        }
        const owner = decodeJson(OwnerRecord, entry.value);
        // A value that cannot be decoded still shows that some process owns the cell.
        this.currentOwner = owner.isOk() ? owner.value : undefined;
        // A claim by this process that took effect after its response was lost is made again.
        return (
            this.currentOwner?.owner === this.options.owner && entry.leaseId === this.options.lease.leaseId
        );
    }

    private mayAcquire(): boolean {
        const now = this.options.clock.nowMs();
        this.freeSinceMs ??= now;
        const delayMs = this.options.nonPreferredDelayMs ?? 1000;
        return this.options.isPreferred() || now - this.freeSinceMs >= delayMs;
    }

    private async acquire(ifRevision: number): Promise<void> {
        const leaseId = this.options.lease.leaseId;
        const epoch = await this.raiseEpoch();
        if (epoch === undefined || leaseId === undefined) {
            return;
        }
        const revision = await this.writeOwner(epoch, ifRevision, leaseId);
        if (revision === undefined || this.isStopping) {
            this.counters.add("ownership.not-acquired");
            if (revision !== undefined) {
                await this.deleteOwner(revision);
            }
            return;
        }
        this.claim = { epoch, leaseId, revision };
        this.freeSinceMs = undefined;
        this.counters.add("ownership.acquired");
        this.options.onChange?.(epoch);
    }

    /** Claims an epoch that no other process can have. Epochs may be skipped when a response is lost. */
    private async raiseEpoch(): Promise<number | undefined> {
        for (let attempt = 0; attempt < MaxAttempts; attempt += 1) {
            const read = await this.options.store.get(this.keys.epoch);
            if (read.isErr()) {
                return undefined;
            }
            const epoch = nextEpoch(read.value?.value);
            if (epoch === undefined) {
                this.counters.add("ownership.epoch-unreadable");
                return undefined;
            }
            const raised = await this.options.store.put(
                this.keys.epoch,
                String(epoch),
                read.value?.revision ?? 0,
            );
            if (raised.isOk()) {
                return epoch;
            }
            if (raised.error.kind !== StoreErrorKind.MayBeApplied) {
                return undefined;
            }
        }
        return undefined;
    }

    private async writeOwner(
        epoch: number,
        ifRevision: number,
        leaseId: string,
    ): Promise<number | undefined> {
        const { owner, address } = this.options;
        const record: OwnerRecord = { owner, epoch, address };
        const value = JSON.stringify(record);
        for (let attempt = 0; attempt < MaxAttempts; attempt += 1) {
            const written = await this.options.store.put(this.keys.owner, value, ifRevision, leaseId);
            if (written.isOk()) {
                this.currentOwner = record;
                return written.value;
            }
            const { kind, current } = written.error;
            if (kind === StoreErrorKind.Conflict) {
                return current?.value === value && current.leaseId === leaseId ? current.revision : undefined;
            }
            if (kind !== StoreErrorKind.MayBeApplied) {
                return undefined;
            }
        }
        return undefined;
    }

    private isClaimLeaseCurrent(): boolean {
        return this.claim !== undefined && this.claim.leaseId === this.options.lease.leaseId;
    }

    private detectLoss(): void {
        if (this.claim !== undefined && !this.isClaimLeaseCurrent()) {
            this.loseOwnership();
        }
    }

    private loseOwnership(): void {
        this.claim = undefined;
        this.currentOwner = undefined;
        this.counters.add("ownership.lost");
        this.options.onChange?.(undefined);
    }
}
