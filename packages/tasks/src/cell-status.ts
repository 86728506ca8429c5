import type { WorkerStatus } from "./worker-status.js";

/** A cell as operators see it (`GET /v1/cells`). */
export interface CellStatus {
    readonly workers: readonly WorkerStatus[];
    readonly queued: number;
    readonly running: number;
}
