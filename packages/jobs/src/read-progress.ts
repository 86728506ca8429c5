import type { Job } from "./job.js";
import type { JobProgress } from "./job-progress.js";
import type { OccurrenceProgress } from "./occurrence-progress.js";
import { showsStart } from "./shows-start.js";
import type { StepProgress } from "./step-progress.js";
import type { Step } from "./step.js";
import type { Task } from "./task.js";
import type { TaskProgress } from "./task-progress.js";
import { unknownAges } from "./unknown-ages.js";
import { unresolvedWorkerKey } from "./unresolved-worker-key.js";

/** Earlier builds give a task up at a higher number, whatever its crashes were. */
const MaxStoredSuspicion = 2;

/** Returns the current durable state of a job. */
export const readProgress = (job: Job): JobProgress => {
    const occurrences = job.endState === undefined ? [...job.openOccurrences.values()] : [];
    const progress: JobProgress = {
        endState: job.endState,
        ...(job.endReason === undefined ? {} : { endReason: job.endReason }),
        ...(job.failure === undefined ? {} : { failure: job.failure }),
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
    const suspicion = Math.min(task.suspicion, MaxStoredSuspicion);
    const suspectWorker = unresolvedWorkerKey(task);
    return {
        ...(suspicion > 0 ? { suspicion, ...readCrashes(task, suspicion) } : {}),
        ...(suspectWorker === undefined ? {} : { suspectWorker }),
    };
};

/** The number alone says the same of crashes that an earlier build has stored. */
const readCrashes = ({ crashes }: Task, suspicion: number): Partial<TaskProgress> => {
    const { fields } = crashes.evidence;
    const { minAgeMs, maxAgeMs } = unknownAges;
    const isKnownByNumber =
        fields.count === suspicion &&
        fields.chance === 1 &&
        fields.minAgeMs === minAgeMs &&
        fields.maxAgeMs === maxAgeMs;
    return isKnownByNumber ? {} : { crashes: fields };
};
