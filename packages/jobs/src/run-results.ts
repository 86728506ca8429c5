import { attemptFailureOf } from "./attempt-failure-of.js";
import type { CopyRuns } from "./copy-runs.js";
import { EndKind } from "./end-kind.js";
import type { EndObserver } from "./end-observer.js";
import { EndReason } from "./end-reason.js";
import type { Job } from "./job.js";
import type { JobRegistry } from "./job-registry.js";
import { JobState } from "./job-state.js";
import type { QueueRules } from "./queue-rules.js";
import type { RunEnd } from "./run-end.js";
import type { Run } from "./run.js";
import type { Task } from "./task.js";
import type { Trials } from "./trials.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Consecutive failures on a worker, of tasks that did not fail elsewhere, after which the worker is avoided. */
const AvoidAfterFailures = 2;
const AvoidMs = 4_000;
/** Delay before a failed task is started again. */
const RetryDelayMs = 20;

/** Monotonic and wall-clock time at which the owner learned of an end. */
interface EndTimes {
    readonly nowMs: number;
    readonly wallMs: number;
}

/** Applies the ends of runs to their tasks, jobs and workers. */
export class RunResults {
    private constructor(
        private readonly jobs: JobRegistry,
        private readonly rules: QueueRules,
        private readonly trials: Trials,
        private readonly observer: EndObserver,
        /** The speculative copies of the cell. */
        readonly copies: CopyRuns,
    ) {}

    static create(
        jobs: JobRegistry,
        rules: QueueRules,
        trials: Trials,
        observer: EndObserver,
        copies: CopyRuns,
    ): RunResults {
        return new RunResults(jobs, rules, trials, observer, copies);
    }

    /** Removes a run that has not started from its worker. The task has waited since before that start. */
    withdraw(run: Run): void {
        const wasRun = run.task.run === run;
        this.release(run);
        this.copies.withdraw(run);
        if (wasRun && run.task.run === undefined) {
            run.task.readySinceMs = run.waitedSinceMs;
        }
    }

    /** Removes a run from its worker, so that the task can start again. */
    private release(run: Run): void {
        run.worker.remove(run);
        if (run.task.run === run) {
            this.trials.close(run.task);
        }
        run.task.detach(run);
    }

    /**
     * Removes a run from its worker and, if it is the task's current run, applies its end. A task is done by the end of
     * any of its runs.
     */
    finish(run: Run, end: RunEnd, times: EndTimes): void {
        const isCurrent = run.task.isCurrent(run);
        const completesTask = end.kind === EndKind.Done && run.task.run === undefined;
        if (isCurrent && end.kind !== EndKind.Stopped && run.confirmedAtMs > 0) {
            this.trials.noteOutcome(run.task, end.kind === EndKind.Lapsed);
        }
        if (run.confirmedAtMs === 0 && (end.kind === EndKind.Lapsed || end.kind === EndKind.Stopped)) {
            this.withdraw(run);
        } else {
            this.release(run);
        }
        if (run.task.step.spec.tailTargetMs > 0) {
            run.worker.noteServingTaskEnded(times.nowMs);
        }
        if (isCurrent) {
            run.task.notRunningSinceMs ??= times.nowMs;
            this.countWaitSinceLoss(run, end);
        }
        if (run.task.step.spec.speculative && !run.task.step.spec.lasting) {
            this.copies.noteEnd(run, end, times.nowMs);
        }
        if (isCurrent || completesTask) {
            const keepsCheckpoint = end.checkpoint === "" || !isCurrent || run.task.takesCheckpointOf(run);
            this.apply(run.task, run.worker, keepsCheckpoint ? end : { ...end, checkpoint: "" }, times);
        } else if (end.kind === EndKind.Done) {
            this.completeByEarlierRun(run.task, times.wallMs);
        } else if (end.kind === EndKind.Failed && run.task.step.spec.speculative) {
            // A third run that a new owner has found is stopped, but a failure before that is an attempt.
            this.countFailure(run.task, run.number, times.wallMs);
        }
    }

    /** A lasting task on a worker that fell silent may have had no run since the worker's last answer. */
    private countWaitSinceLoss({ task, worker }: Run, end: RunEnd): void {
        if (task.step.spec.lasting && end.reason === EndReason.LeaseOver && worker.hasListedRuns) {
            task.readySinceMs = Math.min(task.readySinceMs ?? Infinity, worker.lastContactAtMs);
        }
    }

    /**
     * Marks a task done that has a later run by now, which is then stopped. The end of the earlier run is acknowledged, so
     * the task must not start once more if the later run does not end as done.
     */
    completeByEarlierRun(task: Task, wallMs: number): void {
        const { job } = task.step.occurrence;
        if (!task.step.spec.lasting && job.endState === undefined && !task.isDone) {
            this.jobs.markChanged(job);
            this.applyDone(task, wallMs);
        }
    }

    /** Removes a run that has ended although the worker did not list its end. */
    lapse(run: Run, reason: EndReason, times: EndTimes, restartedAtMs?: number): void {
        const { number } = run;
        this.finish(run, { number, kind: EndKind.Lapsed, checkpoint: "", reason, restartedAtMs }, times);
    }

    /** Applies the end of the task's current run, or of a run that this owner did not know. */
    apply(task: Task, worker: WorkerIncarnation, end: RunEnd, times: EndTimes): void {
        const { job } = task.step.occurrence;
        if (end.checkpoint !== "") {
            task.setCheckpoint(end.checkpoint);
        }
        if (end.kind === EndKind.Done) {
            worker.consecutiveFailures = 0;
        }
        if (job.endState !== undefined || task.isDone) {
            return;
        }
        this.jobs.markChanged(job);
        this.observer.onApplied?.(task, worker, end);
        if (end.kind === EndKind.Failed) {
            this.applyFailure(task, worker, end.number, times.nowMs, times.wallMs);
        } else if (end.kind === EndKind.Done && !task.step.spec.lasting) {
            this.applyDone(task, times.wallMs);
        }
    }

    /** Counts a failed run towards the task's attempts, once per run number. */
    countFailure(task: Task, number: number, wallMs: number): void {
        const { step } = task;
        const { job } = step.occurrence;
        if (step.spec.lasting || job.endState !== undefined || task.isDone) {
            return;
        }
        this.jobs.markChanged(job);
        const members = step.spec.gang ? step.tasks : [task];
        members.forEach(member => member.failedRuns.add(number));
        this.applyAttemptLimit(task, wallMs);
    }

    /**
     * Ends the jobs whose tasks have failed as often as the rules in force allow. Failures are counted while a queue has no
     * rule as well, because its route is away or no configuration has been read.
     */
    applyAttemptLimits(wallMs: number): void {
        for (const job of this.jobs.undecided) {
            this.applyAttemptLimitTo(job, wallMs);
        }
    }

    applyAttemptLimitTo(job: Job, wallMs: number): void {
        for (const task of job.tasks()) {
            this.applyAttemptLimit(task, wallMs);
        }
    }

    private applyAttemptLimit(task: Task, wallMs: number): void {
        const { job } = task.step.occurrence;
        const limit = this.rules.get(job.spec.queue)?.maxAttempts;
        if (limit !== undefined && !task.isDone && task.failedRuns.size >= limit) {
            const failure = attemptFailureOf(task, limit, this.rules.version);
            this.jobs.setEndState(job, JobState.Failed, wallMs, undefined, failure);
        }
    }

    private applyDone(task: Task, wallMs: number): void {
        const { step } = task;
        if (step.spec.gang) {
            step.tasks.forEach(member => member.markDone());
        } else {
            task.markDone();
        }
        if (step.isDone) {
            this.jobs.closeDoneOccurrences(step.occurrence.job, wallMs);
        }
    }

    private applyFailure(
        task: Task,
        worker: WorkerIncarnation,
        number: number,
        nowMs: number,
        wallMs: number,
    ): void {
        this.noteWorkerFailure(task, worker, nowMs);
        task.failedWorkerIds.add(worker.entry.id);
        task.notBeforeMs = nowMs + RetryDelayMs;
        this.countFailure(task, number, wallMs);
    }

    /** Counts a failure against the worker, unless the task had failed on another worker before. */
    private noteWorkerFailure(task: Task, worker: WorkerIncarnation, nowMs: number): void {
        if (task.failedWorkerIds.size > 0 && !task.failedWorkerIds.has(worker.entry.id)) {
            return;
        }
        worker.consecutiveFailures++;
        if (worker.consecutiveFailures >= AvoidAfterFailures) {
            worker.avoidUntilMs = nowMs + AvoidMs;
        }
    }
}
