import type { CellCandidate } from "./cell-candidate.js";
import { cellForKey } from "./cell-for-key.js";

/** The cells of the system; empty until their number is known. */
export class CellDirectory {
    private cells: readonly CellCandidate[] = [];

    private constructor() {}

    static create(): CellDirectory {
        return new CellDirectory();
    }

    set(cells: readonly CellCandidate[]): void {
        this.cells = cells;
    }

    get all(): readonly CellCandidate[] {
        return this.cells;
    }

    get count(): number {
        return this.cells.length;
    }

    /** Number of the cell that a key belongs to; undefined while the number of cells is not known. */
    cellNumber(key: string): number | undefined {
        return this.cells.length === 0 ? undefined : cellForKey(key, this.cells.length);
    }

    get(cell: number): CellCandidate | undefined {
        return this.cells[cell];
    }
}
