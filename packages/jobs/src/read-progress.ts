import type { Job } from "./job.js";
import type { JobProgress } from "./job-progress.js";
import type { OccurrenceProgress } from "./occurrence-progress.js";
import type { StepProgress } from "./step-progress.js";
import type { Step } from "./step.js";

/** Returns the current durable state of a job. */
export const readProgress = (job: Job): JobProgress => ({
    endState: job.endState,
    endedAtMs: job.endedAtMs,
    hasStarted: job.hasStarted,
    nextOccurrence: job.nextOccurrence,
    open:
        job.endState === undefined
            ? [...job.openOccurrences.values()].map((occurrence): OccurrenceProgress => ({
                  number: occurrence.number,
                  steps: occurrence.steps.map(readStep),
              }))
            : [],
});

const readStep = (step: Step): StepProgress => ({
    doneBits: step.tasks.map(task => (task.isDone ? "1" : "0")).join(""),
    marks: step.tasks
        .filter(task => !task.isDone && (task.lastRun > 0 || task.checkpoint !== ""))
        .map(({ index, failedRuns, lastRun, checkpoint }) => ({
            index,
            failedRuns: step.spec.lasting ? [] : [...failedRuns],
            lastRun,
            checkpoint,
        })),
});
