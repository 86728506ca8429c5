import type { KvEntry } from "./kv-entry.js";

/** Changes under a prefix after a revision. */
export interface WatchResult {
    readonly entries: readonly KvEntry[];
    /** Keys that were deleted, or whose lease expired. */
    readonly deleted: readonly string[];
    /** Revision from which the next watch continues. */
    readonly revision: number;
}
