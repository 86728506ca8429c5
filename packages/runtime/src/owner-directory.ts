import type { RandomSource } from "@samphireward/core/random-source";
import type { CellOwnerRecord } from "./cell-owner-record.js";

/** Newest known owner of each cell, received from the store and from peers. */
export class OwnerDirectory {
    private readonly owners = new Map<string, CellOwnerRecord>();

    private constructor(private readonly random: RandomSource) {}

    static create(random: RandomSource): OwnerDirectory {
        return new OwnerDirectory(random);
    }

    /** Records an owner, unless its epoch is not higher than that of the known one. */
    update(record: CellOwnerRecord): void {
        const known = this.owners.get(record.cell);
        if (known === undefined || record.epoch > known.epoch) {
            this.owners.set(record.cell, record);
        }
    }

    lookup(cell: string): CellOwnerRecord | undefined {
        return this.owners.get(cell);
    }

    /** Up to `count` random records, for a message to a peer. */
    sample(count: number): CellOwnerRecord[] {
        const rest = [...this.owners.values()];
        const picked: CellOwnerRecord[] = [];
        while (rest.length > 0 && picked.length < count) {
            picked.push(...rest.splice(this.random.below(rest.length), 1));
        }
        return picked;
    }
}
