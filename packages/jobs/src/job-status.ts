import type { JobEndReason } from "./job-end-reason.js";
import type { JobFailure } from "./job-failure.js";
import type { JobState } from "./job-state.js";

/** What a process of the system says of a job to another one; callers are shown the state and the reason. */
export interface JobStatus {
    readonly state: JobState;
    /** Why it has failed, if it was given up for another reason than its failed runs. */
    readonly reason?: JobEndReason;
    /** What ended it as failed. Missing if an earlier build stored that or answers. */
    readonly failure?: JobFailure;
}
