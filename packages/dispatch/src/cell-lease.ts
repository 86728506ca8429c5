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

/** Everything that is needed to acquire a cell. */
interface LeaseContext {
    readonly store: MetadataStore;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly cell: number;
    readonly node: string;
    readonly instanceId: string;
    readonly address: string;
}

/** Ownership of a cell in the store: an owner key under a lease, and the log key that every commit expects. */
export class CellLease {
    private constructor(
        private readonly context: LeaseContext,
        private leaseId: string,
        readonly epoch: number,
        readonly commits: CommitLog,
        private readonly abort: AbortController,
    ) {}

    /**
     * Acquires the cell with the next epoch. `ownerRevision` is that of the owner key to replace, 0 when there is
     * none. `undefined` when another process was faster.
     */
    static async create(
        context: LeaseContext,
        ownerRevision: number,
    ): Promise<Result<CellLease | undefined, StoreFailure>> {
        const { store, cell } = context;
        const key = cellKeys.log(cell);
        const [granted, held] = await Promise.all([store.grantLease(OwnerLeaseTtlMs), store.get(key)]);
        if (granted.isErr()) {
            return granted;
        }
        if (held.isErr()) {
            return held;
        }
        const before = held.value === undefined ? 0 : highestEpoch(held.value, context);
        const record: LogRecord = { epoch: before + 1, sequence: 0 };
        const owner = encodeOwner(context, record.epoch);
        const made = await store.commit({
            expected: [
                { key, revision: held.value?.revision ?? 0 },
                { key: cellKeys.owner(cell), revision: ownerRevision },
            ],
            writes: [
                { key, value: JSON.stringify(record) },
                { key: cellKeys.owner(cell), value: owner, leaseId: granted.value },
            ],
        });
        const revision = made.isOk() && made.value.isCommitted ? made.value.revision : undefined;
        if (revision === undefined) {
            return made.isErr() ? made : Ok(undefined);
        }
        const abort = new AbortController();
        const commits = CommitLog.create(store, cell, record, revision, abort.signal);
        return Ok(new CellLease(context, granted.value, record.epoch, commits, abort));
    }

    /** Renews until `release` or `stop`; writes the owner key again when the lease ended but nobody has taken over. */
    async keepAlive(onLost: (reason: string) => void): Promise<void> {
        while (!this.abort.signal.aborted) {
            await sleep(RenewIntervalMs, this.abort.signal);
            if (this.abort.signal.aborted) {
                return;
            }
            const kept = await this.context.store.renewLease(this.leaseId);
            if (kept.isErr() && kept.error === StoreFailure.LeaseEnded) {
                const again = await this.restoreOwnerKey();
                if (again.isErr() && again.error === LostOwnership) {
                    onLost("the lease ended and another process owns the cell");
                    return;
                }
            }
        }
    }

    /** Ends the lease, so that the next owner need not wait for it to run out. */
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
        const made = await this.commits.commit({
            expected: [{ key, revision: 0 }],
            writes: [{ key, value, leaseId: granted.value }],
        });
        if (made.isErr()) {
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
 * Highest epoch that a stored log may have had. Each epoch took a transaction, so that of an entry which cannot be
 * read is not above its revision.
 */
const highestEpoch = ({ key, value, revision }: StoredItem, { log, cell }: LeaseContext): number => {
    const record = storedRecords.decodeLog(value);
    if (record === undefined) {
        log.write("entry-unreadable", { cell, key, revision });
    }
    return record?.epoch ?? revision;
};
