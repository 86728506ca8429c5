import type { Clock } from "@samphireward/core/clock";
import { Counters } from "@samphireward/core/counters";
import type * as Effect from "effect/Effect";
import { CellKeys } from "./cell-keys.js";
import { decodeJson } from "./decode-json.js";
import type { KeyValueStore } from "./key-value-store.js";
import type { KvEntry } from "./kv-entry.js";
import { OwnerRecord } from "./owner-record.js";
import type { ProcessLease } from "./process-lease.js";
import { repeatStep } from "./repeat-step.js";
import { StoreErrorKind } from "./store-error-kind.js";

interface Options {
    readonly store: KeyValueStore;
    readonly lease: ProcessLease;
    readonly clock: Clock;
    readonly cell: string;
    /** Name of this process, and the address that is published for entry processes. */
    readonly owner: string;
    readonly address: string;
    /** Whether this process is the cell's preferred owner among the live schedulers. */
    readonly isPreferred: () => boolean;
    /** Called with the epoch after the cell was acquired, and with `undefined` after it was lost. */
    readonly onChange?: (epoch: number | undefined) => void;
    /** How much longer a process that is not preferred waits before it takes a free cell. */
    readonly preferredDelayMs?: number;
}

interface Claim {
    readonly epoch: number;
    readonly leaseId: string;
    readonly revision: number;
}

/** Tries of one call whose answer is lost before the next step starts over. */
const MaxTries = 3;
const OwnedPauseMs = 500;
const FreePauseMs = 250;
/** Longest wait of one watch on the owner key; a pending watch counts as one call of the store's budget. */
const WatchMs = 5000;

/** This process's ownership of one cell: acquires it with a raised epoch, keeps it with the lease, detects loss. */
export class CellOwnership {
    readonly counters = Counters.create();
    private readonly keys: CellKeys;
    private claim: Claim | undefined;
    private currentOwner: OwnerRecord | undefined;
    private seenRevision = 0;
    private freeSinceMs: number | undefined;
    private isStopping = false;

    private constructor(private readonly options: Options) {
        this.keys = CellKeys.create(options.cell);
    }

    static create(options: Options): CellOwnership {
        return new CellOwnership(options);
    }

    /** Epoch of this process's ownership; `undefined` when it does not own the cell as far as it knows. */
    get epoch(): number | undefined {
        return this.isLeaseKept() ? this.claim?.epoch : undefined;
    }

    /** The cell's owner as last read; `undefined` when there is none. */
    get owner(): OwnerRecord | undefined {
        return this.currentOwner;
    }

    /** Whether new work may be granted now: the cell is owned and the lease is certainly valid. */
    canGrant(): boolean {
        return this.epoch !== undefined && this.options.lease.isValid();
    }

    /** Checks once, and acquires the cell when it is free. Returns the pause until the next check. */
    async step(): Promise<number> {
        this.detectLoss();
        if (this.claim !== undefined || this.isStopping || !this.options.lease.isValid()) {
            return OwnedPauseMs;
        }
        const read = await this.options.store.get(this.keys.owner);
        if (read.isErr()) {
            return OwnedPauseMs;
        }
        this.seenRevision = Math.max(this.seenRevision, read.value?.revision ?? 0);
        if (!this.isFree(read.value)) {
            this.freeSinceMs = undefined;
            return 0;
        }
        if (this.mayAcquire()) {
            await this.acquire(read.value?.revision ?? 0);
        }
        return FreePauseMs;
    }

    /** Gives the cell up because its log or a worker has shown a higher epoch. */
    markDeposed(epoch: number): void {
        if (this.claim?.epoch === epoch) {
            this.lose();
        }
    }

    /** Gives the cell up on a planned stop, so that the next owner need not wait for the lease to lapse. */
    async release(): Promise<void> {
        this.isStopping = true;
        const claim = this.claim;
        if (claim === undefined) {
            return;
        }
        this.lose();
        for (let tries = 0; tries < MaxTries; tries += 1) {
            const deleted = await this.options.store.delete(this.keys.owner, claim.revision);
            // A repeated deletion that conflicts shows that the first one took effect.
            if (deleted.isOk() || deleted.error.kind === StoreErrorKind.Conflict) {
                return;
            }
        }
    }

    /** Acquires and keeps the cell until interrupted. */
    run(): Effect.Effect<never> {
        return repeatStep(async () => {
            const pauseMs = await this.step();
            return pauseMs > 0 ? pauseMs : this.waitForRelease();
        });
    }

    /** Waits until the owner key changes, without polling. */
    private async waitForRelease(): Promise<number> {
        const result = await this.options.store.watch(this.keys.owner, this.seenRevision, WatchMs);
        if (result.isErr()) {
            return OwnedPauseMs;
        }
        this.seenRevision = Math.max(this.seenRevision, result.value.revision);
        return 1;
    }

    private isFree(entry: KvEntry | undefined): boolean {
        if (entry === undefined) {
            this.currentOwner = undefined;
            return true;
        }
        const owner = decodeJson(OwnerRecord, entry.value);
        // A key that cannot be read still shows that some process holds the cell.
        this.currentOwner = owner.isOk() ? owner.value : undefined;
        // A claim of this process whose answer was lost and which took effect later is claimed again.
        return (
            this.currentOwner?.owner === this.options.owner && entry.leaseId === this.options.lease.leaseId
        );
    }

    private mayAcquire(): boolean {
        const now = this.options.clock.nowMs();
        this.freeSinceMs ??= now;
        const delayMs = this.options.preferredDelayMs ?? 1000;
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
            return;
        }
        this.claim = { epoch, leaseId, revision };
        this.freeSinceMs = undefined;
        this.counters.add("ownership.acquired");
        this.options.onChange?.(epoch);
    }

    /** Claims an epoch that no other process can hold. Epochs may be skipped when an answer is lost. */
    private async raiseEpoch(): Promise<number | undefined> {
        for (let tries = 0; tries < MaxTries; tries += 1) {
            const read = await this.options.store.get(this.keys.epoch);
            if (read.isErr()) {
                return undefined;
            }
            const epoch = Number(read.value?.value ?? 0) + 1;
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
        for (let tries = 0; tries < MaxTries; tries += 1) {
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

    private isLeaseKept(): boolean {
        return this.claim !== undefined && this.claim.leaseId === this.options.lease.leaseId;
    }

    private detectLoss(): void {
        if (this.claim !== undefined && !this.isLeaseKept()) {
            this.lose();
        }
    }

    private lose(): void {
        this.claim = undefined;
        this.currentOwner = undefined;
        this.counters.add("ownership.lost");
        this.options.onChange?.(undefined);
    }
}
