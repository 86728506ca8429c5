import type { StoreWrite } from "./store-write.js";

/** Changes that are applied atomically, provided that every expected key has its expected revision (0 if absent). */
export interface StoreTransaction {
    readonly expected: readonly { readonly key: string; readonly revision: number }[];
    readonly writes: readonly StoreWrite[];
    readonly removes?: readonly string[];
}
