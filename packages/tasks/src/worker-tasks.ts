import type { Resources } from "@samphireward/core/resources";
import type { AttemptRef } from "./attempt-ref.js";
import type { WorkerOutcome } from "./worker-outcome.js";

/** A worker's report of the tasks that it runs and of the outcomes that are not acknowledged yet. */
export interface WorkerTasks {
    readonly epoch: number;
    readonly tasks: readonly (AttemptRef & {
        readonly resources: Resources;
        readonly startedMsAgo: number;
    })[];
    readonly outcomes: readonly WorkerOutcome[];
}
