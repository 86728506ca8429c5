import type { Run } from "./run.js";
import type { Step } from "./step.js";

/** One task of a step in one occurrence of a job. */
export class Task {
    private done = false;
    /** Numbers of the runs that ended as failed. */
    readonly failedRuns = new Set<number>();
    /** Highest run number known to have been used. */
    lastRun = 0;
    /** Saved progress; empty: none. */
    checkpoint = "";
    /** The current run, or the one that may still be there. */
    run: Run | undefined;
    /** Workers on which a run failed. */
    readonly failedWorkerIds = new Set<string>();
    /** Monotonic time since which the task has been ready without a worker; undefined: it is not. */
    readySinceMs: number | undefined;
    /** Times that the task was moved to another worker. */
    migrationCount = 0;
    /** Monotonic time before which the task is not started again. */
    notBeforeMs = 0;

    private constructor(
        readonly step: Step,
        readonly index: number,
        readonly name: string,
    ) {}

    static create(step: Step, index: number): Task {
        return new Task(step, index, `${step.name}.${index}`);
    }

    get isDone(): boolean {
        return this.done;
    }

    markDone(): void {
        if (!this.done) {
            this.done = true;
            this.step.remainingTasks--;
        }
    }
}
