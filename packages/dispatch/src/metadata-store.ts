import type { Result } from "ts-results-es";
import type { CommitResult } from "./commit-result.js";
import type { StoreChanges } from "./store-changes.js";
import type { StoredItem } from "./stored-item.js";
import type { StoreFailure } from "./store-failure.js";
import type { StorePage } from "./store-page.js";
import type { StoreReadIfChanged } from "./store-read-if-changed.js";
import type { StoreTransaction } from "./store-transaction.js";

/** The platform's key-value store: linearizable reads, transactions, watches and leases. */
export abstract class MetadataStore {
    /** Whether calls have failed for some time, so that a write would probably not be answered in time either. */
    abstract readonly isUnresponsive: boolean;

    abstract get(key: string): Promise<Result<StoredItem | undefined, StoreFailure>>;

    /** Reads a key unless its last change has this revision; an unchanged value is not transmitted. */
    abstract getIfChanged(key: string, revision: number): Promise<Result<StoreReadIfChanged, StoreFailure>>;

    /** Items whose key begins with `prefix`, in the order of keys, after the key `after`. */
    abstract range(prefix: string, after: string): Promise<Result<StorePage, StoreFailure>>;

    /** Waits up to `waitMs` for changes after `revision`. */
    abstract watch(
        prefix: string,
        revision: number,
        waitMs: number,
    ): Promise<Result<StoreChanges, StoreFailure>>;

    abstract commit(transaction: StoreTransaction): Promise<Result<CommitResult, StoreFailure>>;

    abstract grantLease(ttlMs: number): Promise<Result<string, StoreFailure>>;

    abstract renewLease(leaseId: string): Promise<Result<void, StoreFailure>>;

    abstract revokeLease(leaseId: string): Promise<Result<void, StoreFailure>>;
}
