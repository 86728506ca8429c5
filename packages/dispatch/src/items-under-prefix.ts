import type { StoredItem } from "./stored-item.js";

/** Returns the items under a prefix, each with the id that follows the prefix in its key. */
export const itemsUnderPrefix = (
    items: readonly StoredItem[],
    prefix: string,
): (StoredItem & { readonly id: string })[] =>
    items
        .filter(({ key }) => key.startsWith(prefix))
        .map(item => ({ ...item, id: item.key.slice(prefix.length) }));
