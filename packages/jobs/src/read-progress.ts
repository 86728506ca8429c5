import type { Job } from "./job.js";
import type { JobProgress } from "./job-progress.js";
import type { OccurrenceProgress } from "./occurrence-progress.js";
import { showsStart } from "./shows-start.js";
import type { StepProgress } from "./step-progress.js";
import type { Step } from "./step.js";
import type { Task } from "./task.js";
import type { TaskProgress } from "./task-progress.js";
import { unresolvedWorkerKey } from "./unresolved-worker-key.js";

/** Returns the current durable state of a job. */
export const readProgress = (job: Job): JobProgress => {
    const occurrences = job.endState === undefined ? [...job.openOccurrences.values()] : [];
    const progress: JobProgress = {
        endState: job.endState,
        ...(job.endReason === undefined ? {} : { endReason: job.endReason }),
        endedAtMs: job.endedAtMs,
        hasStarted: job.hasStarted,
        nextOccurrence: job.nextOccurrence,
        open: occurrences.map((occurrence): OccurrenceProgress => ({
            number: occurrence.number,
            steps: occurrence.steps.map(readStep),
        })),
    };
    return job.hasStarted && !showsStart(progress) ? { ...progress, isStartConfirmed: true } : progress;
};

const readStep = (step: Step): StepProgress => ({
    doneBits: step.tasks.map(task => (task.isDone ? "1" : "0")).join(""),
    marks: step.tasks
        .filter(task => !task.isDone && (task.lastRun > 0 || task.checkpoint !== ""))
        .map(task => ({
            index: task.index,
            failedRuns: step.spec.lasting ? [] : [...task.failedRuns],
            lastRun: task.lastRun,
            checkpoint: task.checkpoint,
            ...readSuspicion(task),
        })),
});

const readSuspicion = (task: Task): Partial<TaskProgress> => {
    const { suspicion } = task;
    const suspectWorker = unresolvedWorkerKey(task);
    return {
        ...(suspicion > 0 ? { suspicion } : {}),
        ...(suspectWorker === undefined ? {} : { suspectWorker }),
    };
};
