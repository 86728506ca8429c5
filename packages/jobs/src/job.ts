import type { JobSpec } from "./job-spec.js";
import type { JobEndReason } from "./job-end-reason.js";
import type { JobFailure } from "./job-failure.js";
import { JobState } from "./job-state.js";
import type { JobStatus } from "./job-status.js";
import { createJobStatus } from "./create-job-status.js";
import { Occurrence } from "./occurrence.js";
import { openTaskLimits } from "./open-task-limits.js";
import { OpenTasks } from "./open-tasks.js";
import type { Step } from "./step.js";
import { taskCount } from "./task-count.js";
import type { Task } from "./task.js";

/** An accepted job with the state of its tasks. */
export class Job {
    /** Final state; undefined while the job is open. */
    endState: JobState | undefined;
    /** Final state that is durable in the store; callers are shown only this one. */
    storedEndState: JobState | undefined;
    /** Why the job ended as failed; undefined for any other end and for a task that failed too often. */
    endReason: JobEndReason | undefined;
    /** What ended the job as failed; undefined for any other end, and if an earlier build stored the end. */
    failure: JobFailure | undefined;
    /** Wall-clock time at which the job ended, in milliseconds since 1970. */
    endedAtMs = 0;
    /** Whether a worker has begun one of its tasks, as far as workers have said so. */
    hasStarted = false;
    /** Whether a previous owner accepted the job, so that it may have started tasks of which nothing is stored. */
    isInherited = false;
    /** Number of times that a lasting task of the job was preempted. */
    preemptionCount = 0;
    private readonly opened = new Map<number, Occurrence>();
    /** Number of tasks of one occurrence. */
    private readonly taskCount: number;
    /** Occurrences below this number have been opened. */
    nextOccurrence = 0;
    /** Occurrences below this number have been due. */
    nextDueOccurrence = 0;

    private constructor(
        readonly spec: JobSpec,
        private readonly openTasks: OpenTasks,
    ) {
        this.taskCount = taskCount(spec);
    }

    static create(spec: JobSpec, openTasks = OpenTasks.create()): Job {
        return new Job(spec, openTasks);
    }

    /** Occurrences that have been opened and are not done, by number. */
    get openOccurrences(): ReadonlyMap<number, Occurrence> {
        return this.opened;
    }

    get occurrenceCount(): number {
        return this.spec.schedule?.occurrences ?? 1;
    }

    dueAtMs(occurrence: number): number {
        const { schedule, arrivedAtMs } = this.spec;
        return schedule === undefined ? arrivedAtMs : schedule.firstAtMs + occurrence * schedule.intervalMs;
    }

    /**
     * Opens the occurrences that are due by `wallMs`. Those that the bounds on open tasks leave no room for are opened
     * by a later call. Returns false if the queue has no room for the next one. `isRunnable`: there are workers for every
     * step, so that tasks that no worker could run take no room from it.
     */
    openDueOccurrences(wallMs: number, isRunnable = false): boolean {
        while (this.nextDueOccurrence < this.occurrenceCount && this.isDue(this.nextDueOccurrence, wallMs)) {
            if (this.nextDueOccurrence >= this.nextOccurrence) {
                if (!this.hasRoom) {
                    return true;
                }
                if (!this.mayOpen(isRunnable)) {
                    return false;
                }
            }
            this.openUpTo(this.nextDueOccurrence++);
        }
        return true;
    }

    /**
     * Opens an occurrence and those before it, of which a run is listed. Their tasks do not start before they are due.
     * A number so high that no owner can have opened it opens nothing.
     */
    openListed(occurrence: number): void {
        const count = occurrence + 1 - this.nextOccurrence;
        if (count * this.taskCount <= openTaskLimits.perOwner) {
            this.openUpTo(occurrence);
        }
    }

    addOccurrence(number: number): Occurrence {
        const occurrence = Occurrence.create(this, number, this.dueAtMs(number));
        this.opened.set(number, occurrence);
        this.openTasks.add(this.spec.queue, this.taskCount);
        return occurrence;
    }

    closeOccurrence(number: number): void {
        if (this.opened.delete(number)) {
            this.openTasks.add(this.spec.queue, -this.taskCount);
        }
    }

    /** Drops the tasks of a job that has ended; the runs that are left keep theirs. */
    closeAll(): void {
        [...this.opened.keys()].forEach(number => this.closeOccurrence(number));
    }

    get state(): JobState {
        return this.storedEndState ?? (this.hasStarted ? JobState.Running : JobState.Queued);
    }

    /** What callers are shown; a final state and its reason only once they are durable. */
    get status(): JobStatus {
        const { state, storedEndState, endReason, failure } = this;
        return storedEndState === undefined ? { state } : createJobStatus(state, endReason, failure);
    }

    get isComplete(): boolean {
        return this.openOccurrences.size === 0 && this.nextOccurrence >= this.occurrenceCount;
    }

    *tasks(): Generator<Task> {
        for (const occurrence of this.openOccurrences.values()) {
            for (const step of occurrence.steps) {
                yield* step.tasks;
            }
        }
    }

    /** Steps of occurrences that are due whose prerequisites are done and that have tasks left. */
    *openSteps(): Generator<Step> {
        for (const occurrence of this.openOccurrences.values()) {
            if (occurrence.number < this.nextDueOccurrence) {
                yield* occurrence.steps.filter(step => step.remainingTasks > 0 && step.isOpen);
            }
        }
    }

    /** Number of tasks of the open occurrences, done ones included. */
    get openTaskCount(): number {
        return this.opened.size * this.taskCount;
    }

    findTask(occurrence: number, step: number, index: number): Task | undefined {
        return this.openOccurrences.get(occurrence)?.steps[step]?.tasks[index];
    }

    private get hasRoom(): boolean {
        return this.opened.size === 0 || (this.opened.size + 1) * this.taskCount <= openTaskLimits.perJob;
    }

    private mayOpen(isRunnable: boolean): boolean {
        const { spec, taskCount, openTasks } = this;
        return (
            openTasks.mayAdd(spec.queue, taskCount) ||
            (isRunnable && openTasks.mayAddRunnable(spec.queue, taskCount))
        );
    }

    private openUpTo(occurrence: number): void {
        while (this.nextOccurrence <= occurrence && this.nextOccurrence < this.occurrenceCount) {
            this.addOccurrence(this.nextOccurrence++);
        }
    }

    private isDue(occurrence: number, wallMs: number): boolean {
        return this.spec.schedule === undefined || this.dueAtMs(occurrence) <= wallMs;
    }
}
