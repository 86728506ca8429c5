import type { KvEntry } from "./kv-entry.js";
import type { StoreErrorKind } from "./store-error-kind.js";

/** Error of a failed store call. */
export interface StoreError {
    readonly kind: StoreErrorKind;
    readonly message: string;
    /** For a conflict: the current entry; `undefined` when the key is absent. */
    readonly current?: KvEntry | undefined;
}
