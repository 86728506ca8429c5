import type { KvEntry } from "./kv-entry.js";
import type { StoreErrorKind } from "./store-error-kind.js";

/** A store call that did not succeed. */
export interface StoreError {
    readonly kind: StoreErrorKind;
    readonly message: string;
    /** For a conflict: the key as it is now; `undefined` when the key is absent. */
    readonly current?: KvEntry | undefined;
}
