import type { JobProgress } from "@samphireward/jobs/job-progress";

/**
 * Returns progress that keeps what prevents a second run, the tasks that are done and the failures of the others. The
 * numbers of runs that did not fail are not needed, because those of the next epoch are higher. That the job has started
 * is kept for itself, as a checkpoint may have been all that showed it.
 */
export const withoutCheckpoints = (progress: JobProgress): JobProgress => ({
    ...progress,
    ...(progress.hasStarted ? { isStartConfirmed: true } : {}),
    open: progress.open.map(({ number, steps }) => ({
        number,
        steps: steps.map(({ doneBits, marks }) => ({
            doneBits,
            marks: marks
                .filter(({ failedRuns }) => failedRuns.length > 0)
                .map(mark => ({ ...mark, checkpoint: "" })),
        })),
    })),
});
