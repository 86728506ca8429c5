import type { Resources } from "@samphireward/core/resources";
import { reservationFor } from "./reservation-for.js";
import type { Occurrence } from "./occurrence.js";
import { StepPermits } from "./step-permits.js";
import type { StepSpec } from "./step-spec.js";
import { Task } from "./task.js";

/** The tasks of one step in one occurrence of a job. */
export class Step {
    readonly tasks: readonly Task[];
    /** What one task holds of a worker's capacity. */
    readonly reservation: Resources;
    /** `job.occurrence.step`, the common part of the tasks' names. */
    readonly name: string;
    /** Milliseconds of work on the longest chain from the start of this step to the end of the job. */
    criticalPathMs = 0;
    /** Mean speed of its tasks against their estimate; undefined before the first reading. */
    meanRelativeSpeed: number | undefined;
    /** Where the step may run; undefined: on any worker. */
    permits: StepPermits | undefined;
    /** Tasks that are not done. */
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

    /** Follows the queue's rule. What the service has answered stays as long as permits are needed. */
    setNeedsPermits(needsPermits: boolean): void {
        this.permits = needsPermits ? (this.permits ?? StepPermits.create()) : undefined;
    }

    get isDone(): boolean {
        return this.remainingTasks === 0;
    }

    /** Whether all steps that this one waits for are done. */
    get isOpen(): boolean {
        return this.spec.after.every(number => this.occurrence.steps[number]?.isDone === true);
    }
}
