import type { StoredItem } from "./stored-item.js";

/** Result of a transaction that the store evaluated: committed at a revision, or rejected with the current items. */
export type CommitResult =
    | { readonly isCommitted: true; readonly revision: number }
    | { readonly isCommitted: false; readonly current: readonly StoredItem[] };
