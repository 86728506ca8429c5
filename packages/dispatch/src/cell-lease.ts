import type { Clock } from "@samphireward/core/clock";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { cellKeys } from "./cell-keys.js";
import { CommitLog } from "./commit-log.js";
import type { EventLog } from "./event-log.js";
import type { LogRecord } from "./log-record.js";
import { LostOwnership } from "./lost-ownership.js";
import type { MetadataStore } from "./metadata-store.js";
import type { OwnerRecord } from "./owner-record.js";
import { sleep } from "./sleep.js";
import { StoreFailure } from "./store-failure.js";
import type { StoredItem } from "./stored-item.js";
import { storedRecords } from "./stored-records.js";

/** Time to live of an owner's lease in the store. */
const OwnerLeaseTtlMs = 2_000;
const RenewIntervalMs = 500;

/** Dependencies and the identity under which a cell is acquired. */
interface LeaseContext {
    readonly store: MetadataStore;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly cell: number;
    readonly node: string;
    readonly instanceId: string;
    readonly address: string;
}

/**
 * Ownership of a cell in the store: an owner key attached to a lease, and the log key whose revision every commit
 * expects.
 */
export class CellLease {
    private constructor(
        private readonly context: LeaseContext,
        private leaseId: string,
        readonly epoch: number,
        readonly commits: CommitLog,
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
        const [granted, storedLog] = await Promise.all([store.grantLease(OwnerLeaseTtlMs), store.get(key)]);
        if (granted.isErr()) {
            return granted;
        }
        if (storedLog.isErr()) {
            return storedLog;
        }
        const previousEpoch = storedLog.value === undefined ? 0 : highestEpoch(storedLog.value, context);
        const record: LogRecord = { epoch: previousEpoch + 1, sequence: 0 };
        const ownerValue = encodeOwner(context, record.epoch);
        const committed = await store.commit({
            expected: [
                { key, revision: storedLog.value?.revision ?? 0 },
                { key: cellKeys.owner(cell), revision: ownerRevision },
            ],
            writes: [
                { key, value: JSON.stringify(record) },
                { key: cellKeys.owner(cell), value: ownerValue, leaseId: granted.value },
            ],
        });
        const revision =
            committed.isOk() && committed.value.isCommitted ? committed.value.revision : undefined;
        if (revision === undefined) {
            return committed.isErr() ? committed : Ok(undefined);
        }
        const abort = new AbortController();
        const commits = CommitLog.create(store, cell, record, revision, abort.signal);
        return Ok(new CellLease(context, granted.value, record.epoch, commits, abort));
    }

    /**
     * Renews the lease until `release` or `stop`. Writes the owner key again if the lease expired but no process has
     * taken over.
     */
    async keepAlive(onLost: (reason: string) => void): Promise<void> {
        while (!this.abort.signal.aborted) {
            await sleep(RenewIntervalMs, this.abort.signal);
            if (this.abort.signal.aborted) {
                return;
            }
            const renewed = await this.context.store.renewLease(this.leaseId);
            if (renewed.isErr() && renewed.error === StoreFailure.LeaseEnded) {
                const restored = await this.restoreOwnerKey();
                if (restored.isErr() && restored.error === LostOwnership) {
                    onLost("the lease ended and another process owns the cell");
                    return;
                }
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
        const granted = await store.grantLease(OwnerLeaseTtlMs);
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
