import type { KvEntry } from "./kv-entry.js";

/** Changes under a prefix since a revision. */
export interface WatchResult {
    readonly entries: readonly KvEntry[];
    /** Keys that were deleted or whose lease lapsed. */
    readonly deleted: readonly string[];
    /** Revision to continue from. */
    readonly revision: number;
}
