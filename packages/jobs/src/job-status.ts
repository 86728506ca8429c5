import type { JobEndReason } from "./job-end-reason.js";
import type { JobState } from "./job-state.js";

/** What callers are shown of a job. */
export interface JobStatus {
    readonly state: JobState;
    /** Why it has failed, if it was given up for another reason than its failed runs. */
    readonly reason?: JobEndReason;
}
