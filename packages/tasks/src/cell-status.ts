import type { WorkerStatus } from "./worker-status.js";

/** Status of a cell in the operators' API (`GET /v1/cells`). */
export interface CellStatus {
    readonly workers: readonly WorkerStatus[];
    /** Number of tasks that no worker has begun, or that wait to resume. */
    readonly queued: number;
    /** Number of tasks whose start a worker has confirmed. */
    readonly running: number;
}
