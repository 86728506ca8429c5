import { EndKind } from "./end-kind.js";
import type { EndObserver } from "./end-observer.js";
import type { JobRegistry } from "./job-registry.js";
import { JobState } from "./job-state.js";
import type { QueueRules } from "./queue-rules.js";
import type { RunEnd } from "./run-end.js";
import type { Run } from "./run.js";
import type { Task } from "./task.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Failures in a row on one worker, of tasks without failures elsewhere, after which it is avoided. */
const SuspectFailures = 2;
const SuspectMs = 4_000;
/** Pause before a task is started again after a failure. */
const RetryDelayMs = 20;

/** When an end was learned of: on the monotonic clock, and wall time. */
interface EndTimes {
    readonly nowMs: number;
    readonly wallMs: number;
}

/** Applies the ends of runs to tasks, jobs and the record of the worker. */
export class RunResults {
    private constructor(
        private readonly book: JobRegistry,
        private readonly rules: QueueRules,
        private readonly onEnd: EndObserver,
    ) {}

    static create(book: JobRegistry, rules: QueueRules, onEnd: EndObserver): RunResults {
        return new RunResults(book, rules, onEnd);
    }

    /** Takes a run off its worker; the task can start again. */
    release(run: Run): void {
        run.worker.remove(run);
        if (run.task.run === run) {
            run.task.run = undefined;
        }
    }

    /** Takes a run off its worker and applies its end, if it is still the task's current one. */
    finish(run: Run, end: RunEnd, times: EndTimes): void {
        const isCurrent = run.task.run === run;
        this.release(run);
        if (run.task.step.spec.tailTargetMs > 0) {
            run.worker.noteServingTaskEnded(times.nowMs);
        }
        if (isCurrent) {
            this.apply(run.task, run.worker, end, times);
        }
    }

    /** Takes a run off its worker that has ended there without an end that was listed. */
    lapse(run: Run, times: EndTimes): void {
        this.finish(run, { number: run.number, kind: EndKind.Lapsed, checkpoint: "" }, times);
    }

    /** Applies an end of the task's current run, or of a run that this owner did not know of. */
    apply(task: Task, life: WorkerIncarnation, end: RunEnd, times: EndTimes): void {
        const { job } = task.step.occurrence;
        if (end.checkpoint !== "") {
            task.checkpoint = end.checkpoint;
        }
        if (end.kind === EndKind.Done) {
            life.consecutiveFailures = 0;
        }
        if (job.endState !== undefined || task.isDone) {
            return;
        }
        this.book.markChanged(job);
        this.onEnd(task, life, end);
        if (end.kind === EndKind.Failed) {
            this.applyFailure(task, life, end.number, times.nowMs, times.wallMs);
        } else if (end.kind === EndKind.Done && !task.step.spec.lasting) {
            this.applyDone(task, times.wallMs);
        }
    }

    /** Counts a failed run that is not the task's current one; each run counts once. */
    countFailure(task: Task, number: number, wallMs: number): void {
        const { step } = task;
        const { job } = step.occurrence;
        if (step.spec.lasting || job.endState !== undefined || task.isDone) {
            return;
        }
        this.book.markChanged(job);
        const members = step.spec.gang ? step.tasks : [task];
        members.forEach(member => member.failedRuns.add(number));
        const limit = this.rules.get(job.spec.queue)?.maxAttempts;
        if (limit !== undefined && task.failedRuns.size >= limit) {
            this.book.setEndState(job, JobState.Failed, wallMs);
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
            this.book.closeDoneOccurrences(step.occurrence.job, wallMs);
        }
    }

    private applyFailure(
        task: Task,
        life: WorkerIncarnation,
        number: number,
        nowMs: number,
        wallMs: number,
    ): void {
        this.suspect(task, life, nowMs);
        task.failedWorkerIds.add(life.entry.id);
        task.notBeforeMs = nowMs + RetryDelayMs;
        this.countFailure(task, number, wallMs);
    }

    /** A task that failed on another worker before is no evidence against this one. */
    private suspect(task: Task, life: WorkerIncarnation, nowMs: number): void {
        if (task.failedWorkerIds.size > 0 && !task.failedWorkerIds.has(life.entry.id)) {
            return;
        }
        life.consecutiveFailures++;
        if (life.consecutiveFailures >= SuspectFailures) {
            life.avoidUntilMs = nowMs + SuspectMs;
        }
    }
}
