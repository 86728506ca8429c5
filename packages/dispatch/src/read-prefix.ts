import type { Result } from "ts-results-es";
import { Ok } from "ts-results-es";
import type { MetadataStore } from "./metadata-store.js";
import type { StoredItem } from "./stored-item.js";
import type { StoreFailure } from "./store-failure.js";

/** Reads all items under a prefix. `revision` is that of the first page, from which a watch misses no change. */
export const readPrefix = async (
    store: MetadataStore,
    prefix: string,
): Promise<Result<{ readonly items: readonly StoredItem[]; readonly revision: number }, StoreFailure>> => {
    const items: StoredItem[] = [];
    let revision: number | undefined;
    let after = "";
    for (;;) {
        const page = await store.range(prefix, after);
        if (page.isErr()) {
            return page;
        }
        items.push(...page.value.items);
        revision ??= page.value.revision;
        const last = page.value.items.at(-1);
        if (!page.value.hasMore || last === undefined) {
            return Ok({ items, revision });
        }
        after = last.key;
    }
};
