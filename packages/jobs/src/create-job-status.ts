import type { JobEndReason } from "./job-end-reason.js";
import type { JobFailure } from "./job-failure.js";
import type { JobState } from "./job-state.js";
import type { JobStatus } from "./job-status.js";

/** Creates the status of a job without the properties that are undefined. */
export const createJobStatus = (
    state: JobState,
    reason: JobEndReason | undefined,
    failure: JobFailure | undefined,
): JobStatus => ({
    state,
    ...(reason === undefined ? {} : { reason }),
    ...(failure === undefined ? {} : { failure }),
});
