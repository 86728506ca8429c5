import type { JobProgress } from "./job-progress.js";
import type { StepProgress } from "./step-progress.js";

const stepShowsStart = ({ doneBits, marks }: StepProgress): boolean =>
    doneBits.includes("1") ||
    marks.some(
        ({ failedRuns, checkpoint, suspicion = 0 }) =>
            failedRuns.length > 0 || checkpoint !== "" || suspicion > 0,
    );

/** Whether what stored progress records of the tasks shows that one of them has started. */
export const showsStart = ({ nextOccurrence, open }: JobProgress): boolean =>
    nextOccurrence > open.length || open.some(({ steps }) => steps.some(stepShowsStart));
