import type { Resources } from "@samphireward/core/resources";
import { RunPhase } from "./run-phase.js";
import type { StopReason } from "./stop-reason.js";
import type { Task } from "./task.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** One execution of a task on a worker. Its resources stay reserved until the worker lists its end. */
export class Run {
    phase: RunPhase = RunPhase.Starting;
    /** Permit ticket sent with the start; undefined if none is needed. */
    ticket: string | undefined;
    /** Monotonic time since which the task had waited for this start; undefined if this owner did not order it. */
    waitedSinceMs: number | undefined;
    /** Monotonic time at which the worker confirmed the run. */
    confirmedAtMs = 0;
    /** Whether the worker has listed the run, so that it belongs to this incarnation of the worker. */
    isListed = false;
    /** Whether a previous owner ordered the start, so that `startedAtMs` is the time at which this owner found the run. */
    isAdopted = false;
    /** Whether it was started or found as a speculative copy, also if it has become the task's only run. */
    isCopy = false;
    /** Reason to stop this run; undefined if none was set. */
    stopReason: StopReason | undefined;
    /** Monotonic time of the last stop order; 0 if none was sent. */
    stopSentAtMs = 0;
    /** Monotonic time of the first confirmed stop; 0 if there was none. */
    stopConfirmedAtMs = 0;
    /** Pace that was last ordered: percentage of its full speed at which the task may work, 0 to 100. */
    pacePercent = 100;
    /** Monotonic time since which the pace has been low; undefined if it is not. */
    lowPaceSinceMs: number | undefined;
    /** Monotonic time at which `progressPercent` was read; 0 if it was not. */
    sampledAtMs = 0;
    /** Progress in the worker's last listing, 0 to 100. */
    progressPercent = 0;
    /** For a serving task its tail latency in milliseconds, otherwise its processor use in thousandths. */
    gauge = 0;

    private constructor(
        readonly task: Task,
        readonly worker: WorkerIncarnation,
        readonly number: number,
        /** Resources that the run reserves on the worker. */
        readonly reservation: Resources,
        readonly startedAtMs: number,
    ) {}

    static create(task: Task, worker: WorkerIncarnation, number: number, startedAtMs: number): Run {
        return new Run(task, worker, number, task.step.reservation, startedAtMs);
    }

    get isStopRequested(): boolean {
        return this.stopReason !== undefined;
    }

    /** Records that the worker has confirmed the run; only the first confirmation counts. */
    confirm(nowMs: number): void {
        if (this.phase !== RunPhase.Running) {
            this.phase = RunPhase.Running;
            this.confirmedAtMs = nowMs;
            this.task.noteStarted();
            if (this.task.run === this) {
                this.task.notRunningSinceMs = undefined;
            }
        }
    }
}
