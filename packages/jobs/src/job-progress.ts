import type { JobEndReason } from "./job-end-reason.js";
import type { JobFailure } from "./job-failure.js";
import type { JobState } from "./job-state.js";
import type { OccurrenceProgress } from "./occurrence-progress.js";

/** Durable state of a job, written whenever the end of a run changes it. */
export interface JobProgress {
    /** Absent while the job has no final state. */
    readonly endState: JobState | undefined;
    /** Why the job ended as failed; absent for other ends, and in the progress of older versions. */
    readonly endReason?: JobEndReason | undefined;
    /** What ended the job as failed; absent for other ends, and in the progress of older versions. */
    readonly failure?: JobFailure | undefined;
    readonly endedAtMs: number;
    /** Whether a task has started. Earlier builds also set it for starts that no worker has confirmed. */
    readonly hasStarted: boolean;
    /** Set by this build where `hasStarted` is true and nothing else here shows it. */
    readonly isStartConfirmed?: boolean;
    /** Occurrences below this number have been opened; those that are not in `open` are done. */
    readonly nextOccurrence: number;
    readonly open: readonly OccurrenceProgress[];
}
