import type { TaskCounts } from "./task-counts.js";
import type { WorkerStatus } from "./worker-status.js";

/** Status of a cell in the operators' API (`GET /v1/cells`). */
export interface CellStatus extends Readonly<TaskCounts> {
    readonly workers: readonly WorkerStatus[];
}
