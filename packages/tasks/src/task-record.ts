import type { AttemptLoss } from "./attempt-loss.js";
import type { TaskSpec } from "@samphireward/core/task-spec";
import type { TaskState } from "@samphireward/core/task-state";

/** A task's durable state. */
export interface TaskRecord {
    /** The payload is empty once the task has ended. */
    readonly spec: TaskSpec;
    readonly state: TaskState;
    /** Number of the last attempt that was started; 0 before the first. */
    readonly attempt: number;
    /** Worker of the current attempt; `undefined` while the task waits and after it ended. */
    readonly worker: string | undefined;
    /** Checkpoint from which the next attempt resumes. */
    readonly checkpoint: string | undefined;
    /** Worker of each failed attempt, in order. */
    readonly failures: readonly string[];
    /** Attempts whose worker crashed or stopped answering, in the order in which they were noted. */
    readonly losses: readonly AttemptLoss[];
    /** A cancellation is recorded and the current attempt is being stopped. */
    readonly cancelRequested: boolean;
    /** Output of a finished task, error of a failed one. */
    readonly output: string;
    /** Wall-clock time of the acceptance or, for an ended task, of its end; for people and retention only. */
    readonly wallMs: number;
}
