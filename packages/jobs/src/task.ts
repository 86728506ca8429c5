import type { Run } from "./run.js";
import type { Step } from "./step.js";
import { TaskCrashes } from "./task-crashes.js";
import type { Trial } from "./trial.js";

/** One task of a step in one occurrence of a job. */
export class Task {
    private done = false;
    /** Numbers of the runs that ended as failed. */
    readonly failedRuns = new Set<number>();
    /** Highest run number known to have been used. */
    lastRun = 0;
    /** Latest checkpoint; empty if there is none. */
    checkpoint = "";
    /** The current run; it may be one whose start got no response. */
    run: Run | undefined;
    /** A speculative copy that runs beside `run`; undefined if there is none, and always if `run` is undefined. */
    copy: Run | undefined;
    /** Whether this owner knows of a copy of the task that has run, so that it gets no further one. */
    hasBeenCopied = false;
    /** Monotonic time before which no copy of the task is started. */
    copyNotBeforeMs = 0;
    /** Ids of the workers on which a run failed. */
    readonly failedWorkerIds = new Set<string>();
    /** Monotonic time since which the task has been ready without a worker; undefined if it is not. */
    readySinceMs: number | undefined;
    /** Monotonic time since which a lasting task has had no confirmed run; undefined while it has one. */
    notRunningSinceMs: number | undefined;
    /** Number of times that the task was migrated to another worker. */
    migrationCount = 0;
    /** Monotonic time before which the task is not started again, late starts aside. */
    notBeforeMs = 0;
    /** Whether a crash that the task may have caused took a rack or most of the cell as well. */
    wasLostWithGroup = false;
    /** The open trial; undefined if there is none. */
    trial: Trial | undefined;
    /** Key of a worker, stored by a previous owner, whose loss would count against the task; until it is known. */
    inheritedWorkerKey: string | undefined;
    /** Its address; undefined if an earlier build stored the key alone. */
    inheritedWorkerAddress: string | undefined;
    /** Created when needed, since most tasks are never suspected. */
    private taskCrashes: TaskCrashes | undefined;
    /** Progress of the run of a speculative step that wrote the latest checkpoint, in percent. */
    private checkpointPercent = 0;
    /** Ends of the waits for late starts, in monotonic time, by worker id; undefined if there was none. */
    private lateStartEndsMs: Map<string, number> | undefined;

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

    /** Losses of workers that the task may have caused. */
    get crashes(): TaskCrashes {
        this.taskCrashes ??= TaskCrashes.create();
        return this.taskCrashes;
    }

    /** Whether a loss was ever counted for the task. */
    get hasCrashes(): boolean {
        return this.taskCrashes !== undefined;
    }

    /** Number of crashes that the task may have caused; 0 if it is not suspected. */
    get suspicion(): number {
        return this.taskCrashes?.evidence.count ?? 0;
    }

    set suspicion(count: number) {
        this.crashes.inheritCount(count);
    }

    /** Whether the task starts in a trial only. A single crash says nothing if it took many other workers. */
    get needsTrial(): boolean {
        return this.suspicion > (this.wasLostWithGroup ? 1 : 0);
    }

    /** Monotonic time before which the task is not started, according to what is known now. */
    get startableAtMs(): number {
        return this.lateStartEndsMs === undefined
            ? this.notBeforeMs
            : Math.max(this.notBeforeMs, ...this.lateStartEndsMs.values());
    }

    /** Keeps the task from starting until `untilMs`, because the worker may carry out an earlier start until then. */
    waitForLateStart(workerId: string, untilMs: number): void {
        this.lateStartEndsMs ??= new Map();
        this.lateStartEndsMs.set(workerId, untilMs);
    }

    /** Ends the wait for the late start on one worker; those on others go on. */
    endWaitForLateStart(workerId: string): void {
        this.lateStartEndsMs?.delete(workerId);
    }

    /** Whether a run is the current one or its copy. */
    isCurrent(run: Run): boolean {
        return this.run === run || this.copy === run;
    }

    /** Makes a run the current one. Its checkpoints count whatever an earlier run had reached. */
    setRun(run: Run): void {
        this.run = run;
        this.checkpointPercent = 0;
    }

    /** Detaches a run that has ended. The copy of a task without a run becomes its run. */
    detach(run: Run): void {
        if (this.copy === run) {
            this.copy = undefined;
        } else if (this.run === run) {
            this.run = this.copy;
            this.copy = undefined;
        }
    }

    /** Records that a worker has begun a run of the task. */
    noteStarted(): void {
        this.step.occurrence.job.hasStarted = true;
    }

    /** Sets the latest checkpoint. That of any member of a gang is valid for all, and all have to start with the same one. */
    setCheckpoint(checkpoint: string): void {
        const { spec, tasks } = this.step;
        for (const task of spec.gang ? tasks : [this]) {
            task.checkpoint = checkpoint;
        }
    }

    /** Whether the checkpoint of a current run replaces the latest one, which the other run may have written further on. */
    takesCheckpointOf(run: Run): boolean {
        if (!this.step.spec.speculative) {
            return true;
        }
        if (run.progressPercent < this.checkpointPercent) {
            return false;
        }
        this.checkpointPercent = run.progressPercent;
        return true;
    }

    markDone(): void {
        if (!this.done) {
            this.done = true;
            this.step.remainingTasks--;
        }
    }
}
