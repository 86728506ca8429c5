import type { Job } from "./job.js";
import type { Run } from "./run.js";
import { minNeighbourAgeMs } from "./min-neighbour-age-ms.js";
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

/** A worker that crashed, or that seems to have crashed, and the tasks that may be the cause. */
export class WorkerLoss {
    /** Points of suspicion that the loss has added, by task. */
    readonly points = new Map<Task, number>();
    isSettled = false;

    private constructor(
        readonly worker: WorkerIncarnation,
        /** Monotonic time of the last answer of the worker. */
        readonly lostAtMs: number,
        /** Tasks that may be the cause. */
        readonly blamed: readonly Task[],
        /** Whether a suspected task was on trial there, which explains the loss. */
        readonly hasTrial: boolean,
        /** Whether the run on trial had just been confirmed and was never listed, and nothing else had just started. */
        readonly isClear: boolean,
    ) {}

    /**
     * The task on trial, if there is one, is the only one that is blamed: what ran beside it had run before. Otherwise
     * all that started lately may be the cause. What has run for long is not blamed.
     */
    static create(worker: WorkerIncarnation, nowMs: number): WorkerLoss {
        const lostAtMs = worker.hasListedRuns ? worker.lastContactAtMs : nowMs;
        const runs = worker.entry.isDraining ? [] : [...worker.runs.values()].filter(isInvolved);
        const trial = runs.find(({ task }) => task.trial?.worker === worker);
        if (trial !== undefined) {
            const hadRun = (run: Run): boolean => trial.startedAtMs - run.startedAtMs >= minNeighbourAgeMs;
            const isClear =
                trial.phase === RunPhase.Running &&
                !trial.isListed &&
                runs.every(run => run === trial || hadRun(run));
            return new WorkerLoss(worker, lostAtMs, [trial.task], true, isClear);
        }
        const recent = runs.filter(run => mayHaveJustStarted(run, lostAtMs));
        return new WorkerLoss(
            worker,
            lostAtMs,
            recent.map(({ task }) => task),
            false,
            false,
        );
    }

    get jobs(): ReadonlySet<Job> {
        return new Set(this.blamed.map(({ step }) => step.occurrence.job));
    }
}
