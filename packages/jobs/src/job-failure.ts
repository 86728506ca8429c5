import type { CrashedWorker } from "./crashed-worker.js";
import type { JobFailureCause } from "./job-failure-cause.js";

/** What ended a job as failed. Stored with its progress, so every property but the first two may be missing. */
export interface JobFailure {
    readonly cause: JobFailureCause;
    /** The task within the job, `occurrence.step.index`. */
    readonly task: string;
    /** Number of its failed runs. */
    readonly failedRuns?: number;
    /** Number of failed runs that was allowed. */
    readonly limit?: number;
    /** Version of the configuration that the limit is from. */
    readonly configVersion?: number;
    /** Workers that crashed under the task, the latest at most. */
    readonly crashedWorkers?: readonly CrashedWorker[];
    /** Number of crashes before those, of which a previous owner has stored only the count. */
    readonly inheritedCrashes?: number;
}
