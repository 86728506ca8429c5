import type { OwnerRecord } from "./owner-record.js";

/** The owner key of a cell, as read from the store. */
export interface StoredOwner {
    /** Undefined if the entry cannot be decoded: the owner is then unknown, and the cell may be claimed. */
    readonly owner: OwnerRecord | undefined;
    readonly revision: number;
}
