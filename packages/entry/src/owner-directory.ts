import type { CellOwnerRecord } from "./cell-owner-record.js";

/** Newest known owner of each cell, learned from peers and from the store. */
export class OwnerDirectory {
    private readonly owners = new Map<string, CellOwnerRecord>();

    private constructor() {}

    static create(): OwnerDirectory {
        return new OwnerDirectory();
    }

    /** Notes an owner; one of a lower epoch than the known one is ignored. */
    learn(cell: string, record: CellOwnerRecord): void {
        const known = this.owners.get(cell);
        if (known === undefined || record.epoch > known.epoch) {
            this.owners.set(cell, record);
        }
    }

    lookup(cell: string): CellOwnerRecord | undefined {
        return this.owners.get(cell);
    }
}
