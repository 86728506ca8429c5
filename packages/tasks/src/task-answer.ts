import type { ResultCode } from "@samphireward/core/result-code";
import type { TaskStatus } from "./task-status.js";

/** Answer to a submission, lookup or cancellation that the owner has recorded. */
export interface TaskAnswer {
    readonly code: ResultCode;
    readonly status: TaskStatus;
}
