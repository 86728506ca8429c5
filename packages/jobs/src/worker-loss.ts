import type { CrashObservation } from "@samphireward/core/crash-observation";
import type { Job } from "./job.js";
import type { Run } from "./run.js";
import { recentStartMs } from "./recent-start-ms.js";
import { RunPhase } from "./run-phase.js";
import type { Task } from "./task.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Whether the run may have been there when its worker was lost, and the task is still wanted. */
const isInvolved = (run: Run): boolean =>
    run.task.isCurrent(run) &&
    !run.task.isDone &&
    run.stopConfirmedAtMs === 0 &&
    run.task.step.occurrence.job.endState === undefined;

/**
 * An unconfirmed start may have been carried out at any time since. A run that was found on its worker has started under
 * the previous owner, and the worker has survived that.
 */
const mayHaveJustStarted = (run: Run, lostAtMs: number): boolean =>
    run.phase !== RunPhase.Running || (!run.isAdopted && lostAtMs - run.startedAtMs < recentStartMs);

/** Time for which a task had run when its worker was lost. */
type AgeRange = Pick<CrashObservation, "minAgeMs" | "maxAgeMs">;

/**
 * The loss is later than the request of the last listing that shows the run, and earlier than the first call without an
 * answer. A start without an answer may have come after the loss, so that any time since the last answer before it is
 * possible.
 */
const ageAtLoss = (
    run: Run,
    { lastContactAtMs, lastListingSentAtMs, unreachableSinceMs }: WorkerIncarnation,
    nowMs: number,
): AgeRange => {
    const isConfirmed = run.phase === RunPhase.Running;
    const minAgeMs = isConfirmed && run.isListed ? Math.max(0, lastListingSentAtMs - run.confirmedAtMs) : 0;
    const sinceMs = isConfirmed ? run.startedAtMs : Math.min(run.startedAtMs, lastContactAtMs);
    return { minAgeMs, maxAgeMs: Math.max(minAgeMs, (unreachableSinceMs ?? nowMs) - sinceMs) };
};

/** A worker that crashed, or that seems to have crashed, and the tasks that may be the cause. */
export class WorkerLoss {
    /** Whether nothing more is awaited. */
    isSettled = false;
    /** Whether the worker is known to have crashed. */
    isProven = false;

    private constructor(
        readonly worker: WorkerIncarnation,
        /** Monotonic time of the last answer of the worker. */
        readonly lostAtMs: number,
        /** Monotonic time at which the loss was noted. */
        readonly notedAtMs: number,
        /** Tasks that may be the cause, with the time for which each had run. */
        readonly ages: ReadonlyMap<Task, AgeRange>,
        /** Whether a suspected task was on trial there, which explains the loss. */
        readonly hasTrial: boolean,
    ) {}

    /**
     * The task on trial, if there is one, is the only one that is blamed: what ran beside it had run before. Otherwise
     * all that started lately may be the cause. What has run for long is not blamed.
     */
    static create(worker: WorkerIncarnation, nowMs: number): WorkerLoss {
        const lostAtMs = worker.hasListedRuns ? worker.lastContactAtMs : nowMs;
        const runs = worker.entry.isDraining ? [] : [...worker.runs.values()].filter(isInvolved);
        const trial = runs.find(({ task }) => task.trial?.worker === worker);
        const blamed = trial === undefined ? runs.filter(run => mayHaveJustStarted(run, lostAtMs)) : [trial];
        const ages = new Map(blamed.map(run => [run.task, ageAtLoss(run, worker, nowMs)]));
        return new WorkerLoss(worker, lostAtMs, nowMs, ages, trial !== undefined);
    }

    /** Whether the loss tells how often workers are lost for causes of their own. */
    get isUnrelated(): boolean {
        return !this.hasTrial && !this.worker.entry.isDraining;
    }

    get blamed(): readonly Task[] {
        return [...this.ages.keys()];
    }

    get jobs(): ReadonlySet<Job> {
        return new Set(this.blamed.map(({ step }) => step.occurrence.job));
    }
}
