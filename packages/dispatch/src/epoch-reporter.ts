import type { CellDirectory } from "./cell-directory.js";
import { cellKeys } from "./cell-keys.js";
import type { EpochReport } from "./epoch-report.js";
import type { MetadataStore } from "./metadata-store.js";
import { resultWithin } from "./result-within.js";
import { storedRecords } from "./stored-records.js";

/** Longest wait for the store; shorter than a call between processes, so that its silence is reported in time. */
const ReadTimeoutMs = 350;

/** Reports the owner of a cell to an owner that does not reach the store. */
export class EpochReporter {
    private constructor(
        private readonly cells: CellDirectory,
        private readonly store: MetadataStore,
    ) {}

    static create(cells: CellDirectory, store: MetadataStore): EpochReporter {
        return new EpochReporter(cells, store);
    }

    /** Reads the epoch from the store; without it, reports the highest one that this process has seen. */
    async report(cell: number): Promise<EpochReport> {
        const candidate = this.cells.get(cell);
        const read = await resultWithin(this.store.get(cellKeys.log(cell)), ReadTimeoutMs);
        const item = read?.isOk() === true ? read.value : undefined;
        const stored = item === undefined ? undefined : storedRecords.decodeLog(item.value)?.epoch;
        if (stored !== undefined) {
            return { epoch: stored, isCurrent: true };
        }
        const known = [candidate?.ownerRecord?.epoch, candidate?.ownedEpoch].filter(
            epoch => epoch !== undefined,
        );
        return { epoch: known.length === 0 ? undefined : Math.max(...known), isCurrent: false };
    }
}
