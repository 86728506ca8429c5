import type { Resources } from "@samphireward/core/resources";
import type { AttemptRef } from "./attempt-ref.js";
import type { WorkerOutcome } from "./worker-outcome.js";

/** What a worker says that it runs, and which outcomes are not acknowledged yet. */
export interface WorkerTasks {
    readonly epoch: number;
    readonly tasks: readonly (AttemptRef & {
        readonly resources: Resources;
        readonly startedMsAgo: number;
    })[];
    readonly outcomes: readonly WorkerOutcome[];
}
