import type { OwnerRecord } from "./owner-record.js";

/** The owner key of a cell as it was read. */
export interface StoredOwner {
    /** Undefined when the entry cannot be read: then nobody is known to own the cell, and it may be claimed. */
    readonly owner: OwnerRecord | undefined;
    readonly revision: number;
}
