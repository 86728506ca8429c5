import type { CommitResult } from "../src/commit-result.js";
import { MetadataStore } from "../src/metadata-store.js";
import type { StoreChanges } from "../src/store-changes.js";
import { StoreFailure } from "../src/store-failure.js";
import type { StorePage } from "../src/store-page.js";
import type { StoreReadIfChanged } from "../src/store-read-if-changed.js";
import type { StoreTransaction } from "../src/store-transaction.js";
import type { StoredItem } from "../src/stored-item.js";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";

/** A store whose transactions are answered by the test, in the order of their arrival. */
export class ManualStore extends MetadataStore {
    override readonly isUnresponsive = false;
    readonly transactions: StoreTransaction[] = [];
    /** Items that reads return: `range` all of them, `get` the one with the key. */
    items: readonly StoredItem[] = [];
    /** Failure that every watch returns. */
    watchFailure: StoreFailure = StoreFailure.NotDone;
    private readonly pendingResponses: ((result: Result<CommitResult, StoreFailure>) => void)[] = [];
    private revision = 1;

    protected constructor() {
        super();
    }

    static create(): ManualStore {
        return new ManualStore();
    }

    /** Whether the oldest unanswered transaction writes under a prefix. */
    isNextWriteUnder(prefix: string): boolean {
        const oldest = this.transactions[this.transactions.length - this.pendingResponses.length];
        return oldest?.writes.some(({ key }) => key.startsWith(prefix)) === true;
    }

    /** Answers the oldest unanswered transaction. */
    async answerNext(result?: Result<CommitResult, StoreFailure>): Promise<void> {
        this.pendingResponses.shift()?.(result ?? Ok({ isCommitted: true, revision: ++this.revision }));
        await new Promise(resolve => setImmediate(resolve));
    }

    override commit(transaction: StoreTransaction): Promise<Result<CommitResult, StoreFailure>> {
        this.transactions.push(transaction);
        return new Promise(resolve => this.pendingResponses.push(resolve));
    }

    override get(key: string): Promise<Result<StoredItem | undefined, StoreFailure>> {
        return Promise.resolve(Ok(this.items.find(item => item.key === key)));
    }

    override getIfChanged(key: string, revision: number): Promise<Result<StoreReadIfChanged, StoreFailure>> {
        const item = this.items.find(each => each.key === key && each.revision !== revision);
        return Promise.resolve(Ok({ item, transferMs: 0 }));
    }

    override range(): Promise<Result<StorePage, StoreFailure>> {
        const { items, revision } = this;
        return Promise.resolve(Ok({ items, hasMore: false, revision, transferMs: 0 }));
    }

    override watch(): Promise<Result<StoreChanges, StoreFailure>> {
        return Promise.resolve(Err(this.watchFailure));
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
}
