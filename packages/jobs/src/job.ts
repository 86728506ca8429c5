import type { JobSpec } from "./job-spec.js";
import type { JobEndReason } from "./job-end-reason.js";
import { JobState } from "./job-state.js";
import type { JobStatus } from "./job-status.js";
import { Occurrence } from "./occurrence.js";
import type { Step } from "./step.js";
import type { Task } from "./task.js";

/** An accepted job with the state of its tasks. */
export class Job {
    /** Final state; undefined while the job is open. */
    endState: JobState | undefined;
    /** Final state that is durable in the store; callers are shown only this one. */
    storedEndState: JobState | undefined;
    /** Why the job ended as failed; undefined for any other end and for a task that failed too often. */
    endReason: JobEndReason | undefined;
    /** Wall-clock time at which the job ended, in milliseconds since 1970. */
    endedAtMs = 0;
    hasStarted = false;
    /** Number of times that a lasting task of the job was preempted. */
    preemptionCount = 0;
    /** Occurrences that have been opened and are not done, by number. */
    readonly openOccurrences = new Map<number, Occurrence>();
    /** Occurrences below this number have been opened. */
    nextOccurrence = 0;
    /** Occurrences below this number have been due. */
    nextDueOccurrence = 0;

    private constructor(readonly spec: JobSpec) {}

    static create(spec: JobSpec): Job {
        return new Job(spec);
    }

    get occurrenceCount(): number {
        return this.spec.schedule?.occurrences ?? 1;
    }

    dueAtMs(occurrence: number): number {
        const { schedule, arrivedAtMs } = this.spec;
        return schedule === undefined ? arrivedAtMs : schedule.firstAtMs + occurrence * schedule.intervalMs;
    }

    /** Opens the occurrences that are due by `wallMs`. */
    openDueOccurrences(wallMs: number): void {
        while (this.nextDueOccurrence < this.occurrenceCount && this.isDue(this.nextDueOccurrence, wallMs)) {
            this.openUpTo(this.nextDueOccurrence++);
        }
    }

    /** Opens an occurrence and those before it. Their tasks do not start before they are due. */
    openUpTo(occurrence: number): void {
        while (this.nextOccurrence <= occurrence && this.nextOccurrence < this.occurrenceCount) {
            const number = this.nextOccurrence++;
            this.openOccurrences.set(number, Occurrence.create(this, number, this.dueAtMs(number)));
        }
    }

    get state(): JobState {
        return this.storedEndState ?? (this.hasStarted ? JobState.Running : JobState.Queued);
    }

    /** What callers are shown; a final state and its reason only once they are durable. */
    get status(): JobStatus {
        const isFinal = this.storedEndState !== undefined && this.endReason !== undefined;
        return { state: this.state, ...(isFinal ? { reason: this.endReason } : {}) };
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

    findTask(occurrence: number, step: number, index: number): Task | undefined {
        return this.openOccurrences.get(occurrence)?.steps[step]?.tasks[index];
    }

    private isDue(occurrence: number, wallMs: number): boolean {
        return this.spec.schedule === undefined || this.dueAtMs(occurrence) <= wallMs;
    }
}
