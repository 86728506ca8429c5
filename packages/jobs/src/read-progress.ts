import type { CrashEvidence } from "@samphireward/core/crash-evidence";
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
    const suspectWorker = unresolvedWorkerKey(task);
    return {
        ...(task.hasCrashes ? readCrashes(task) : {}),
        ...(suspectWorker === undefined ? {} : { suspectWorker, ...readAddress(task, suspectWorker) }),
    };
};

const readAddress = (task: Task, workerKey: string): Partial<TaskProgress> => {
    const workers = [task.trial?.worker, task.run?.worker, task.copy?.worker];
    const address =
        workers.find(worker => worker?.key === workerKey)?.entry.address ?? task.inheritedWorkerAddress;
    return address === undefined ? {} : { suspectAddress: address };
};

const readCrashes = (task: Task): Partial<TaskProgress> => {
    const { lostWorkers, provenEvidence } = task.crashes;
    const suspicion = Math.min(provenEvidence.count, MaxStoredSuspicion);
    return {
        ...(suspicion > 0 ? { suspicion, ...readEvidence(provenEvidence, suspicion) } : {}),
        ...(lostWorkers.length > 0 ? { lostWorkers } : {}),
    };
};

/** The number alone says the same of crashes that an earlier build has stored. */
const readEvidence = ({ fields }: CrashEvidence, suspicion: number): Partial<TaskProgress> => {
    const { minAgeMs, maxAgeMs } = unknownAges;
    const isKnownByNumber =
        fields.count === suspicion &&
        fields.chance === 1 &&
        fields.minAgeMs === minAgeMs &&
        fields.maxAgeMs === maxAgeMs;
    return isKnownByNumber ? {} : { crashes: fields };
};
