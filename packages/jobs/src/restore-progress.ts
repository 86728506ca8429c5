import { CrashEvidence } from "@samphireward/core/crash-evidence";
import { hasStarted } from "./has-started.js";
import type { Job } from "./job.js";
import type { JobProgress } from "./job-progress.js";
import type { StepProgress } from "./step-progress.js";
import type { Step } from "./step.js";
import type { TaskProgress } from "./task-progress.js";
import type { Task } from "./task.js";

/** Restores the stored state of a job into a new one. */
export const restoreProgress = (job: Job, progress: JobProgress): void => {
    job.endState = progress.endState;
    job.storedEndState = progress.endState;
    job.endReason = progress.endReason;
    job.failure = progress.failure;
    job.endedAtMs = progress.endedAtMs;
    job.hasStarted = hasStarted(progress);
    job.nextOccurrence = progress.nextOccurrence;
    job.nextDueOccurrence = progress.nextOccurrence;
    for (const { number, steps } of progress.open) {
        const occurrence = job.addOccurrence(number);
        occurrence.steps.forEach((step, index) => restoreStep(step, steps[index]));
    }
};

const restoreStep = (step: Step, progress: StepProgress | undefined): void => {
    step.tasks.forEach((task, index) => {
        if (progress?.doneBits[index] === "1") {
            task.markDone();
        }
    });
    for (const mark of progress?.marks ?? []) {
        const { index, failedRuns, lastRun, checkpoint, suspectWorker, suspectAddress } = mark;
        const task = step.tasks[index];
        if (task !== undefined) {
            Object.assign(task, { lastRun, checkpoint, inheritedWorkerKey: suspectWorker });
            task.inheritedWorkerAddress = suspectAddress;
            restoreCrashes(task, mark);
            failedRuns.forEach(number => task.failedRuns.add(number));
        }
    }
};

/** An earlier build that owned the job in between has raised or reset the number alone. */
const restoreCrashes = (task: Task, { suspicion = 0, crashes, lostWorkers = [] }: TaskProgress): void => {
    if (lostWorkers.length > 0) {
        task.crashes.inheritLostWorkers(lostWorkers);
    }
    if (suspicion > 0 && crashes !== undefined) {
        task.crashes.inherit(CrashEvidence.create(crashes));
    } else if (suspicion > 0) {
        task.crashes.inheritCount(suspicion);
    }
};
