import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { CommitResult } from "../src/commit-result.js";
import { StoreFailure } from "../src/store-failure.js";
import type { StoreTransaction } from "../src/store-transaction.js";
import { ManualStore } from "./manual-store.js";
import type { TransactionFate } from "./transaction-fate.js";

/** A store that evaluates transactions, and that carries some of them out late or without an answer. */
export class TransactionStore extends ManualStore {
    fate: TransactionFate = "answer";
    private readonly held: StoreTransaction[] = [];
    private lastRevision = 1;

    static override create(this: void): TransactionStore {
        return new TransactionStore();
    }

    override commit(transaction: StoreTransaction): Promise<Result<CommitResult, StoreFailure>> {
        this.transactions.push(transaction);
        if (this.fate === "refuse") {
            return Promise.resolve(Err(StoreFailure.NotDone));
        }
        if (this.fate === "hold") {
            this.held.push(transaction);
            return Promise.resolve(Err(StoreFailure.Unknown));
        }
        const result = this.apply(transaction);
        return Promise.resolve(this.fate === "answer" ? Ok(result) : Err(StoreFailure.Unknown));
    }

    /** Carries out the transactions that were held. */
    applyHeld(): void {
        this.held.splice(0).forEach(transaction => this.apply(transaction));
    }

    private apply({ expected, writes, removes = [] }: StoreTransaction): CommitResult {
        const isExpected = expected.every(
            ({ key, revision }) => (this.find(key)?.revision ?? 0) === revision,
        );
        if (!isExpected) {
            return { isCommitted: false, current: expected.flatMap(({ key }) => this.find(key) ?? []) };
        }
        const revision = ++this.lastRevision;
        const changed = new Set([...removes, ...writes.map(({ key }) => key)]);
        this.items = [
            ...this.items.filter(({ key }) => !changed.has(key)),
            ...writes.map(({ key, value }) => ({ key, value, revision })),
        ];
        return { isCommitted: true, revision };
    }

    private find(key: string): ManualStore["items"][number] | undefined {
        return this.items.find(item => item.key === key);
    }
}
