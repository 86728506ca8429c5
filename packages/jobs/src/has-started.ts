import type { JobProgress } from "./job-progress.js";
import { showsStart } from "./shows-start.js";

/**
 * Whether a task of the job has started. Without a trace of that in the progress, an earlier build may have stored
 * `hasStarted` for a start that was refused; if a run is there after all, its worker lists it.
 */
export const hasStarted = (progress: JobProgress): boolean =>
    progress.hasStarted && (progress.isStartConfirmed === true || showsStart(progress));
