import type { StoreChange } from "./store-change.js";

/** Response to a watch; the next watch continues from `revision`. */
export interface StoreChanges {
    readonly changes: readonly StoreChange[];
    readonly revision: number;
    /** Time from the beginning of the response to its end. */
    readonly transferMs: number;
}
