import type { Clock } from "@samphireward/core/clock";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { cellKeys } from "./cell-keys.js";
import { CommitLog } from "./commit-log.js";
import type { EventLog } from "./event-log.js";
import type { LogRecord } from "./log-record.js";
import { LostOwnership } from "./lost-ownership.js";
import type { MetadataStore } from "./metadata-store.js";
import { ownerLeaseTtlMs } from "./owner-lease-ttl-ms.js";
import { OwnershipProof } from "./ownership-proof.js";
import type { OwnerRecord } from "./owner-record.js";
import { sleep } from "./sleep.js";
import { StoreFailure } from "./store-failure.js";
import type { StoredItem } from "./stored-item.js";
import { storedRecords } from "./stored-records.js";
import { TakeoverCheckResult } from "./takeover-check-result.js";
import type { TakeoverChecker } from "./takeover-checker.js";

const RenewIntervalMs = 500;
/** Pause between two checks with the other processes while renewals fail. */
const CheckIntervalMs = 300;

/** Dependencies and the identity under which a cell is acquired. */
interface LeaseContext {
    readonly store: MetadataStore;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly cell: number;
    readonly node: string;
    readonly instanceId: string;
    readonly address: string;
    readonly takeovers: TakeoverChecker;
}

/**
 * Ownership of a cell in the store: an owner key attached to a lease, and the log key whose revision every commit
 * expects.
 */
export class CellLease {
    /** Whether the last renewal failed. */
    private isStoreLost = false;

    private constructor(
        private readonly context: LeaseContext,
        private leaseId: string,
        readonly epoch: number,
        readonly commits: CommitLog,
        readonly proof: OwnershipProof,
        private readonly abort: AbortController,
    ) {}

    /**
     * Acquires the cell with the next epoch. `ownerRevision` is that of the owner key to replace, 0 if there is none.
     * Returns `undefined` if another process acquired the cell first.
     */
    static async create(
        context: LeaseContext,
        ownerRevision: number,
    ): Promise<Result<CellLease | undefined, StoreFailure>> {
        const { store, cell } = context;
        const key = cellKeys.log(cell);
        const [granted, storedLog] = await Promise.all([store.grantLease(ownerLeaseTtlMs), store.get(key)]);
        if (granted.isErr()) {
            return granted;
        }
        if (storedLog.isErr()) {
            return storedLog;
        }
        const previousEpoch = storedLog.value === undefined ? 0 : highestEpoch(storedLog.value, context);
        const record: LogRecord = { epoch: previousEpoch + 1, sequence: 0 };
        const ownerValue = encodeOwner(context, record.epoch);
        const sentAtMs = context.clock.nowMs();
        const committed = await store.commit({
            expected: [
                { key, revision: storedLog.value?.revision ?? 0 },
                { key: cellKeys.owner(cell), revision: ownerRevision },
            ],
            writes: [
                { key, value: JSON.stringify(record) },
                { key: cellKeys.owner(cell), value: ownerValue, leaseId: granted.value },
                { key: cellKeys.takeover(cell), value: JSON.stringify({ epoch: record.epoch }) },
            ],
        });
        const revision =
            committed.isOk() && committed.value.isCommitted ? committed.value.revision : undefined;
        if (revision === undefined) {
            return committed.isErr() ? committed : Ok(undefined);
        }
        const abort = new AbortController();
        const commits = CommitLog.create(store, cell, record, revision, abort.signal);
        const proof = OwnershipProof.create(sentAtMs);
        return Ok(new CellLease(context, granted.value, record.epoch, commits, proof, abort));
    }

    /**
     * Renews the lease until `release` or `stop`. Writes the owner key again if the lease expired but no process has
     * taken over.
     */
    async keepAlive(onLost: (reason: string) => void): Promise<void> {
        await Promise.all([this.renewUntilStopped(onLost), this.checkUntilStopped(onLost)]);
    }

    private async renewUntilStopped(onLost: (reason: string) => void): Promise<void> {
        while (!this.abort.signal.aborted) {
            await sleep(RenewIntervalMs, this.abort.signal);
            if (this.abort.signal.aborted) {
                return;
            }
            const sentAtMs = this.context.clock.nowMs();
            const renewed = await this.renew();
            this.isStoreLost = renewed.isErr();
            if (renewed.isOk()) {
                this.proof.note(sentAtMs);
            } else if (renewed.error === LostOwnership) {
                onLost("the lease ended and another process owns the cell");
                return;
            }
        }
    }

    private async renew(): Promise<Result<void, typeof LostOwnership | StoreFailure>> {
        const renewed = await this.context.store.renewLease(this.leaseId);
        const hasEnded = renewed.isErr() && renewed.error === StoreFailure.LeaseEnded;
        return hasEnded ? this.restoreOwnerKey() : renewed;
    }

    /** Asks the other processes for another owner while renewals fail. */
    private async checkUntilStopped(onLost: (reason: string) => void): Promise<void> {
        const { takeovers, clock, cell } = this.context;
        while (!this.abort.signal.aborted) {
            await sleep(CheckIntervalMs, this.abort.signal);
            if (!this.isStoreLost || this.abort.signal.aborted) {
                continue;
            }
            const sentAtMs = clock.nowMs();
            const result = await takeovers.check(cell, this.epoch);
            if (result === TakeoverCheckResult.StillOwner) {
                this.proof.note(sentAtMs);
            } else if (result === TakeoverCheckResult.Superseded) {
                onLost("another process knows a newer owner");
                return;
            }
        }
    }

    /** Revokes the lease, so that the next owner need not wait for it to expire. */
    async release(): Promise<void> {
        this.stop();
        await this.context.store.revokeLease(this.leaseId);
    }

    stop(): void {
        this.abort.abort();
    }

    private async restoreOwnerKey(): Promise<Result<void, typeof LostOwnership | StoreFailure>> {
        const { store, cell, log } = this.context;
        const granted = await store.grantLease(ownerLeaseTtlMs);
        if (granted.isErr()) {
            return granted;
        }
        const key = cellKeys.owner(cell);
        const value = encodeOwner(this.context, this.epoch);
        const committed = await this.commits.commit({
            expected: [{ key, revision: 0 }],
            writes: [{ key, value, leaseId: granted.value }],
        });
        if (committed.isErr()) {
            return Err(LostOwnership);
        }
        this.leaseId = granted.value;
        log.write("lease-restored", { cell, epoch: this.epoch });
        return Ok(undefined);
    }
}

const encodeOwner = ({ node, instanceId: life, address }: LeaseContext, epoch: number): string =>
    JSON.stringify({ node, life, address, epoch } satisfies OwnerRecord);

/**
 * Upper bound of the epoch of a stored log record. Each epoch takes a transaction, so the epoch of an unreadable
 * record is not above the record's revision.
 */
const highestEpoch = ({ key, value, revision }: StoredItem, { log, cell }: LeaseContext): number => {
    const record = storedRecords.decodeLog(value);
    if (record === undefined) {
        log.write("entry-unreadable", { cell, key, revision });
    }
    return record?.epoch ?? revision;
};
