import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { CommitResult } from "../src/commit-result.js";
import { MetadataStore } from "../src/metadata-store.js";
import type { StoreChanges } from "../src/store-changes.js";
import { StoreFailure } from "../src/store-failure.js";
import type { StorePage } from "../src/store-page.js";
import type { StoreReadIfChanged } from "../src/store-read-if-changed.js";
import type { StoredItem } from "../src/stored-item.js";

type Read = Result<StoreChanges | StoreReadIfChanged, StoreFailure>;

/** A store that answers watches and conditional reads with given responses, in order, and records the calls. */
export class ScriptedReads extends MetadataStore {
    override readonly isUnresponsive = false;
    readonly calls: string[] = [];
    /** Resolves at the first call that has no response. */
    readonly exhausted: Promise<void>;
    private resolveExhausted: () => void = () => undefined;
    private releasePending: () => void = () => undefined;

    private constructor(
        private readonly items: readonly StoredItem[],
        private readonly reads: Read[],
    ) {
        super();
        this.exhausted = new Promise(resolve => (this.resolveExhausted = resolve));
    }

    static create(items: readonly StoredItem[], reads: readonly Read[]): ScriptedReads {
        return new ScriptedReads(items, [...reads]);
    }

    /** Fails the call that is waiting for a response. */
    release(): void {
        this.releasePending();
    }

    override watch(_prefix: string, revision: number): Promise<Result<StoreChanges, StoreFailure>> {
        return this.next<StoreChanges>(`watch after ${revision}`);
    }

    override getIfChanged(_key: string, revision: number): Promise<Result<StoreReadIfChanged, StoreFailure>> {
        return this.next<StoreReadIfChanged>(`read if not ${revision}`);
    }

    override range(): Promise<Result<StorePage, StoreFailure>> {
        return Promise.resolve(Ok({ items: this.items, hasMore: false, revision: 1, transferMs: 0 }));
    }

    override get(): Promise<Result<StoredItem | undefined, StoreFailure>> {
        return Promise.resolve(Err(StoreFailure.NotDone));
    }

    override commit(): Promise<Result<CommitResult, StoreFailure>> {
        return Promise.resolve(Err(StoreFailure.NotDone));
    }

    override grantLease(): Promise<Result<string, StoreFailure>> {
        return Promise.resolve(Err(StoreFailure.NotDone));
    }

    override renewLease(): Promise<Result<void, StoreFailure>> {
        return Promise.resolve(Err(StoreFailure.NotDone));
    }

    override revokeLease(): Promise<Result<void, StoreFailure>> {
        return Promise.resolve(Err(StoreFailure.NotDone));
    }

    private next<T>(call: string): Promise<Result<T, StoreFailure>> {
        this.calls.push(call);
        const read = this.reads.shift();
        if (read !== undefined) {
            return Promise.resolve(read as Result<T, StoreFailure>);
        }
        this.resolveExhausted();
        return new Promise(resolve => (this.releasePending = () => resolve(Err(StoreFailure.NotDone))));
    }
}
