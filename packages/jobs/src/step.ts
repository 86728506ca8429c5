import type { Resources } from "@samphireward/core/resources";
import { reservationFor } from "./reservation-for.js";
import type { Occurrence } from "./occurrence.js";
import { StepPermits } from "./step-permits.js";
import type { StepSpec } from "./step-spec.js";
import { Task } from "./task.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** The tasks of one step in one occurrence of a job. */
export class Step {
    readonly tasks: readonly Task[];
    /** Resources that one task reserves on its worker. */
    readonly reservation: Resources;
    /** `job.occurrence.step`, the prefix of the tasks' names. */
    readonly name: string;
    /** Estimated work on the critical path from the start of this step to the end of the job, in milliseconds. */
    criticalPathMs = 0;
    /** Mean speed of its tasks relative to their estimate; undefined before the first reading. */
    meanRelativeSpeed: number | undefined;
    /** Monotonic time before which no further place is looked for to move its runs out of an evacuated data centre. */
    nextMoveSearchMs = 0;
    /** Durations of a speculative step's runs that ended as done, in milliseconds, ascending; without adopted runs. */
    readonly doneDurationsMs: number[] = [];
    /** Permits of the step; undefined if it needs none. */
    permits: StepPermits | undefined;
    /** Whether its tasks may start beside one of them that is on trial; only for a gang that finds no other room. */
    sharesTrials = false;
    /** Number of tasks that are not done. */
    remainingTasks: number;

    private constructor(
        readonly occurrence: Occurrence,
        readonly number: number,
        readonly spec: StepSpec,
    ) {
        this.name = `${occurrence.job.spec.id}.${occurrence.number}.${number}`;
        this.reservation = reservationFor(spec);
        this.remainingTasks = spec.count;
        this.tasks = Array.from({ length: spec.count }, (_, index) => Task.create(this, index));
    }

    static create(occurrence: Occurrence, number: number, spec: StepSpec): Step {
        return new Step(occurrence, number, spec);
    }

    /** Applies the queue's rule. Answers of the permit service are kept as long as permits are needed. */
    setNeedsPermits(needsPermits: boolean): void {
        this.permits = needsPermits ? (this.permits ?? StepPermits.create()) : undefined;
    }

    /** Whether the step needs no permit for the worker or has a valid one. */
    isPermittedOn(worker: WorkerIncarnation, nowMs: number): boolean {
        return this.permits === undefined || this.permits.ticketFor(worker, nowMs) !== undefined;
    }

    get isDone(): boolean {
        return this.remainingTasks === 0;
    }

    /** Whether all steps that this one depends on are done. */
    get isOpen(): boolean {
        return this.spec.after.every(number => this.occurrence.steps[number]?.isDone === true);
    }
}
