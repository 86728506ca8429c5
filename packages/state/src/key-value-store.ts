import type { Result } from "ts-results-es";
import type { KvEntry } from "./kv-entry.js";
import type { StoreError } from "./store-error.js";
import type { WatchResult } from "./watch-result.js";

/** Client of the platform's key-value store with compare-and-swap, leases and watches. Calls never reject. */
export abstract class KeyValueStore {
    abstract get(key: string): Promise<Result<KvEntry | undefined, StoreError>>;

    /** Lists the entries under a prefix, at most 1,000; counts as one read. */
    abstract list(prefix: string): Promise<Result<WatchResult, StoreError>>;

    /** Writes the key if its revision is `ifRevision` (0: the key is absent). Returns the new revision. */
    abstract put(
        key: string,
        value: string,
        ifRevision: number,
        leaseId?: string,
    ): Promise<Result<number, StoreError>>;

    abstract delete(key: string, ifRevision: number): Promise<Result<void, StoreError>>;

    /** Returns the ID of the new lease. */
    abstract grantLease(ttlMs: number): Promise<Result<string, StoreError>>;

    abstract renewLease(leaseId: string): Promise<Result<void, StoreError>>;

    /** Ends a lease and deletes its keys. */
    abstract revokeLease(leaseId: string): Promise<Result<void, StoreError>>;

    /** Waits up to `waitMs` for changes under a prefix after a revision; may return an empty result. */
    abstract watch(
        prefix: string,
        afterRevision: number,
        waitMs: number,
    ): Promise<Result<WatchResult, StoreError>>;
}
