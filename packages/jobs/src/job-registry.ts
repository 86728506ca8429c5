import type { Resources } from "@samphireward/core/resources";
import type { CapableWorkers } from "./capable-workers.js";
import { reservationFor } from "./reservation-for.js";
import type { Job as JobType } from "./job.js";
import { Job } from "./job.js";
import type { JobEndReason } from "./job-end-reason.js";
import type { JobFailure } from "./job-failure.js";
import type { JobProgress } from "./job-progress.js";
import type { JobSpec } from "./job-spec.js";
import { JobState } from "./job-state.js";
import { OpenTasks } from "./open-tasks.js";
import { parseTaskName } from "./parse-task-name.js";
import { restoreProgress } from "./restore-progress.js";
import type { Task } from "./task.js";
import { taskCount } from "./task-count.js";

/** The jobs of a cell, and which of them changed since they were last written to the store. */
export class JobRegistry {
    private readonly jobs = new Map<string, Job>();
    private readonly undecidedJobs = new Set<Job>();
    private readonly speculativeJobs = new Set<Job>();
    private readonly openTasks = OpenTasks.create();
    private changed = new Set<Job>();

    private constructor(private readonly capableWorkers: (() => CapableWorkers) | undefined) {}

    /** `capableWorkers` tells which workers there are now; without it, jobs count as if they could all run. */
    static create(capableWorkers?: () => CapableWorkers): JobRegistry {
        return new JobRegistry(capableWorkers);
    }

    /** Adds a job; if the id is known already, returns the existing job unchanged. */
    add(spec: JobSpec, progress?: JobProgress): JobType {
        const existing = this.jobs.get(spec.id);
        if (existing !== undefined) {
            return existing;
        }
        const job = Job.create(spec, this.openTasks);
        if (progress !== undefined) {
            restoreProgress(job, progress);
        }
        this.jobs.set(spec.id, job);
        if (job.endState === undefined) {
            this.undecidedJobs.add(job);
            if (spec.steps.some(step => step.speculative)) {
                this.speculativeJobs.add(job);
            }
        }
        return job;
    }

    /** Whether the first occurrence of a job that is not known yet could be opened now. */
    hasRoomFor(spec: JobSpec): boolean {
        const count = taskCount(spec);
        return (
            this.openTasks.mayAdd(spec.queue, count) ||
            (this.capableWorkers?.().existForAll(spec) === true &&
                this.openTasks.mayAddRunnable(spec.queue, count))
        );
    }

    get(id: string): JobType | undefined {
        return this.jobs.get(id);
    }

    /** Jobs without a final state. */
    get undecided(): Iterable<JobType> {
        return this.undecidedJobs;
    }

    /** Jobs without a final state that have a step whose tasks may have speculative copies. */
    get undecidedSpeculative(): ReadonlySet<JobType> {
        return this.speculativeJobs;
    }

    get undecidedCount(): number {
        return this.undecidedJobs.size;
    }

    /**
     * Finds a task that a worker lists. A previous owner whose wall clock was ahead may have opened its occurrence before
     * this owner does.
     */
    findListedTask(name: string): Task | undefined {
        const position = parseTaskName(name);
        const job = position && this.jobs.get(position.job);
        if (position === undefined || job === undefined) {
            return undefined;
        }
        if (job.endState === undefined) {
            job.openListed(position.occurrence);
        }
        return job.findTask(position.occurrence, position.step, position.index);
    }

    /**
     * Opens the occurrences that are due, in the order in which the jobs of a queue were added, as far as the bounds on
     * open tasks allow it. In a full queue, a job that some step has no worker for is passed by later ones.
     */
    openDueOccurrences(wallMs: number): void {
        const fullQueues = new Set<string>();
        let capable: CapableWorkers | undefined;
        for (const job of this.undecidedJobs) {
            const { queue } = job.spec;
            if (fullQueues.has(queue) || job.openDueOccurrences(wallMs)) {
                continue;
            }
            if (capable === undefined) {
                capable = this.capableWorkers?.();
                this.countUnrunnable(capable);
            }
            if (capable?.existForAll(job.spec) !== false && !job.openDueOccurrences(wallMs, true)) {
                fullQueues.add(queue);
            }
        }
    }

    private countUnrunnable(capable: CapableWorkers | undefined): void {
        const counts = new Map<string, number>();
        for (const job of this.undecidedJobs) {
            if (job.openTaskCount > 0 && capable?.existForOpenStep(job) === false) {
                const { queue } = job.spec;
                counts.set(queue, (counts.get(queue) ?? 0) + job.openTaskCount);
            }
        }
        this.openTasks.setUnrunnable(counts);
    }

    /** Resources that a task reserves on its worker, even if its job has ended; undefined if the job is unknown. */
    reservationOfTask(name: string): Resources | undefined {
        const position = parseTaskName(name);
        const step = position && this.jobs.get(position.job)?.spec.steps[position.step];
        return step && reservationFor(step);
    }

    markChanged(job: JobType): void {
        this.changed.add(job);
    }

    /** Sets a job's final state; a job that has one keeps it. `reason` and `failure` are those of a failed one. */
    setEndState(
        job: JobType,
        state: JobState,
        wallMs: number,
        reason?: JobEndReason,
        failure?: JobFailure,
    ): void {
        if (job.endState === undefined) {
            job.endState = state;
            job.endReason = reason;
            job.failure = failure;
            job.endedAtMs = wallMs;
            job.closeAll();
            this.undecidedJobs.delete(job);
            this.speculativeJobs.delete(job);
            this.markChanged(job);
        }
    }

    /** Closes the occurrences that are done, and completes the job with the last of them. */
    closeDoneOccurrences(job: JobType, wallMs: number): void {
        for (const occurrence of [...job.openOccurrences.values()]) {
            if (occurrence.isDone) {
                job.closeOccurrence(occurrence.number);
                this.markChanged(job);
            }
        }
        if (job.isComplete) {
            this.setEndState(job, JobState.Completed, wallMs);
        }
    }

    /** Returns the jobs that changed since the last call. */
    takeChanged(): readonly JobType[] {
        const taken = [...this.changed];
        this.changed = new Set();
        return taken;
    }

    /** Ids of the jobs that ended before `wallMs` and have no unwritten changes. */
    idsEndedBefore(wallMs: number): readonly string[] {
        return [...this.jobs.values()]
            .filter(
                job => job.storedEndState !== undefined && job.endedAtMs < wallMs && !this.changed.has(job),
            )
            .map(job => job.spec.id);
    }

    remove(id: string): void {
        this.jobs.delete(id);
    }

    /** Number of jobs of a queue that have neither a final state nor a started task. */
    countUnstarted(queue: string): number {
        let count = 0;
        for (const job of this.undecidedJobs) {
            count += job.spec.queue === queue && !job.hasStarted ? 1 : 0;
        }
        return count;
    }
}
