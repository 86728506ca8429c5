import type { WorkerStatus } from "./worker-status.js";

/** Status of a cell in the operators' API (`GET /v1/cells`). */
export interface CellStatus {
    readonly workers: readonly WorkerStatus[];
    readonly queued: number;
    readonly running: number;
}
