import type { StoredItem } from "./stored-item.js";

/** Response to a read of a key that may be unchanged. */
export interface StoreReadIfChanged {
    /** Undefined if the key is unchanged or does not exist. */
    readonly item: StoredItem | undefined;
    /** Time from the beginning of the response to its end. */
    readonly transferMs: number;
}
