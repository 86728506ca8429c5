import type { StoredItem } from "./stored-item.js";

/** One page of a range of keys, with the store's revision when it was read. */
export interface StorePage {
    readonly items: readonly StoredItem[];
    readonly hasMore: boolean;
    readonly revision: number;
    /** Time from the beginning of the response to its end. */
    readonly transferMs: number;
}
