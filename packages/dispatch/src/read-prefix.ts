import type { Result } from "ts-results-es";
import { Ok } from "ts-results-es";
import type { MetadataStore } from "./metadata-store.js";
import type { StoredItem } from "./stored-item.js";
import type { StoreFailure } from "./store-failure.js";

/** All items under a prefix. */
interface PrefixContent {
    readonly items: readonly StoredItem[];
    /** Revision of the first page, from which a watch misses no change. */
    readonly revision: number;
    /** Time for which the responses were received. */
    readonly transferMs: number;
}

/** Reads all items under a prefix. */
export const readPrefix = async (
    store: MetadataStore,
    prefix: string,
): Promise<Result<PrefixContent, StoreFailure>> => {
    const items: StoredItem[] = [];
    let transferMs = 0;
    let revision: number | undefined;
    let after = "";
    for (;;) {
        const page = await store.range(prefix, after);
        if (page.isErr()) {
            return page;
        }
        items.push(...page.value.items);
        transferMs += page.value.transferMs;
        revision ??= page.value.revision;
        const last = page.value.items.at(-1);
        if (!page.value.hasMore || last === undefined) {
            return Ok({ items, revision, transferMs });
        }
        after = last.key;
    }
};
