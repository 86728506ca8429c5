import type { Result } from "ts-results-es";
import { Err } from "ts-results-es";
import type { CommitResult } from "../src/commit-result.js";
import { MetadataStore } from "../src/metadata-store.js";
import { sleep } from "../src/sleep.js";
import type { StoreChanges } from "../src/store-changes.js";
import type { StoredItem } from "../src/stored-item.js";
import { StoreFailure } from "../src/store-failure.js";
import type { StorePage } from "../src/store-page.js";
import type { StoreReadIfChanged } from "../src/store-read-if-changed.js";
import type { StoreTransaction } from "../src/store-transaction.js";

const TimeoutMs = 1_000;

/** A store as one process sees it, which may be cut off from it while others are not. */
export class CutOffStore extends MetadataStore {
    override readonly isUnresponsive = false;
    isCut = false;

    private constructor(private readonly store: MetadataStore) {
        super();
    }

    static create(store: MetadataStore): CutOffStore {
        return new CutOffStore(store);
    }

    override get(key: string): Promise<Result<StoredItem | undefined, StoreFailure>> {
        return this.unlessCut(() => this.store.get(key));
    }

    override getIfChanged(key: string, revision: number): Promise<Result<StoreReadIfChanged, StoreFailure>> {
        return this.unlessCut(() => this.store.getIfChanged(key, revision));
    }

    override range(prefix: string, after: string): Promise<Result<StorePage, StoreFailure>> {
        return this.unlessCut(() => this.store.range(prefix, after));
    }

    override watch(
        prefix: string,
        revision: number,
        waitMs: number,
    ): Promise<Result<StoreChanges, StoreFailure>> {
        return this.unlessCut(() => this.store.watch(prefix, revision, waitMs));
    }

    override commit(transaction: StoreTransaction): Promise<Result<CommitResult, StoreFailure>> {
        return this.unlessCut(() => this.store.commit(transaction));
    }

    override grantLease(ttlMs: number): Promise<Result<string, StoreFailure>> {
        return this.unlessCut(() => this.store.grantLease(ttlMs));
    }

    override renewLease(leaseId: string): Promise<Result<void, StoreFailure>> {
        return this.unlessCut(() => this.store.renewLease(leaseId));
    }

    override revokeLease(leaseId: string): Promise<Result<void, StoreFailure>> {
        return this.unlessCut(() => this.store.revokeLease(leaseId));
    }

    private async unlessCut<T>(
        call: () => Promise<Result<T, StoreFailure>>,
    ): Promise<Result<T, StoreFailure>> {
        if (!this.isCut) {
            return call();
        }
        await sleep(TimeoutMs);
        return Err(StoreFailure.Unknown);
    }
}
