import type { SeededRandom } from "@samphireward/core/seeded-random";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { cellKeys } from "../src/cell-keys.js";
import type { CommitResult } from "../src/commit-result.js";
import { MetadataStore } from "../src/metadata-store.js";
import { sleep } from "../src/sleep.js";
import type { StoreChanges } from "../src/store-changes.js";
import { StoreFailure } from "../src/store-failure.js";
import type { StorePage } from "../src/store-page.js";
import type { StoreReadIfChanged } from "../src/store-read-if-changed.js";
import type { StoreTransaction } from "../src/store-transaction.js";
import type { StoredItem } from "../src/stored-item.js";
import { storedRecords } from "../src/stored-records.js";

const LatencyMs = 20;
const TimeoutMs = 1_000;
const MaxLateMs = 6_000;

/** A store whose calls are slow, lost or carried out late, and that may be down. */
export class OwnerModelStore extends MetadataStore {
    override readonly isUnresponsive = false;
    isDown = false;
    private readonly items = new Map<string, StoredItem>();
    private revision = 1;

    private constructor(
        private readonly random: SeededRandom,
        private readonly faultRate: number,
    ) {
        super();
    }

    static create(random: SeededRandom, faultRate: number): OwnerModelStore {
        return new OwnerModelStore(random, faultRate);
    }

    put(key: string, value: string): number {
        this.items.set(key, { key, value, revision: ++this.revision });
        return this.revision;
    }

    remove(key: string): void {
        if (this.items.delete(key)) {
            this.revision++;
        }
    }

    item(key: string): StoredItem | undefined {
        return this.items.get(key);
    }

    /** Makes a process the next owner of the cell, as its claim does. */
    claim(cell: number): { readonly epoch: number; readonly revision: number } {
        const key = cellKeys.log(cell);
        const log = this.items.get(key);
        const epoch = (log === undefined ? 0 : (storedRecords.decodeLog(log.value)?.epoch ?? 0)) + 1;
        return { epoch, revision: this.put(key, JSON.stringify({ epoch, sequence: 0 })) };
    }

    override get(key: string): Promise<Result<StoredItem | undefined, StoreFailure>> {
        return this.read(() => this.items.get(key));
    }

    override getIfChanged(): Promise<Result<StoreReadIfChanged, StoreFailure>> {
        return Promise.resolve(Err(StoreFailure.NotDone));
    }

    override range(prefix: string): Promise<Result<StorePage, StoreFailure>> {
        return this.read(() => ({
            items: [...this.items.values()].filter(({ key }) => key.startsWith(prefix)),
            hasMore: false,
            revision: this.revision,
            transferMs: 0,
        }));
    }

    /** The model reports jobs to the owner itself. */
    override watch(): Promise<Result<StoreChanges, StoreFailure>> {
        return new Promise(() => undefined);
    }

    override async commit(transaction: StoreTransaction): Promise<Result<CommitResult, StoreFailure>> {
        const draw = this.random.next() / this.faultRate;
        if (this.isDown || draw < 1) {
            const isCarriedOut = this.random.next() < 0.5;
            if (isCarriedOut) {
                setTimeout(() => this.apply(transaction), this.random.next() * MaxLateMs);
            }
            await sleep(TimeoutMs);
            return Err(StoreFailure.Unknown);
        }
        await sleep(this.random.next() * LatencyMs);
        const result = this.apply(transaction);
        if (draw < 2) {
            await sleep(TimeoutMs);
            return Err(StoreFailure.Unknown);
        }
        await sleep(this.random.next() * LatencyMs);
        return Ok(result);
    }

    override grantLease(): Promise<Result<string, StoreFailure>> {
        return Promise.resolve(Ok("1"));
    }

    override renewLease(): Promise<Result<void, StoreFailure>> {
        return Promise.resolve(Ok(undefined));
    }

    override revokeLease(): Promise<Result<void, StoreFailure>> {
        return Promise.resolve(Ok(undefined));
    }

    private async read<T>(find: () => T): Promise<Result<T, StoreFailure>> {
        await sleep(this.random.next() * LatencyMs);
        if (this.isDown) {
            await sleep(TimeoutMs);
            return Err(StoreFailure.NotDone);
        }
        const value = find();
        await sleep(this.random.next() * LatencyMs);
        return Ok(value);
    }

    private apply({ expected, writes, removes }: StoreTransaction): CommitResult {
        const isExpected = expected.every(
            ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision,
        );
        if (!isExpected) {
            return {
                isCommitted: false,
                current: expected.flatMap(({ key }) => this.items.get(key) ?? []),
            };
        }
        this.revision++;
        for (const { key, value } of writes) {
            this.items.set(key, { key, value, revision: this.revision });
        }
        removes?.forEach(key => this.items.delete(key));
        return { isCommitted: true, revision: this.revision };
    }
}
