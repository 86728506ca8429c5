import type { Resources } from "@samphireward/core/resources";
import { RunPhase } from "./run-phase.js";
import type { StopReason } from "./stop-reason.js";
import type { Task } from "./task.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** One start of a task on one worker. It holds its resources until the worker lists its end. */
export class Run {
    phase: RunPhase = RunPhase.Starting;
    /** Ticket of the permit under which it starts; undefined: none is needed. */
    ticket: string | undefined;
    /** Monotonic time at which the worker confirmed the run. */
    confirmedAtMs = 0;
    /** Why the run is to stop; undefined: it is not, by itself. */
    stopReason: StopReason | undefined;
    /** Monotonic time of the last stop order; 0: none was sent. */
    stopSentAtMs = 0;
    /** Monotonic time of the last confirmed stop; 0: none. */
    stopConfirmedAtMs = 0;
    /** Share of its speed at which the task may work, 0 to 100, as last ordered. */
    pacePercent = 100;
    /** Monotonic time since which the pace has been low; undefined: it is not. */
    lowPaceSinceMs: number | undefined;
    /** Monotonic time of the reading that `progressPercent` is from; 0: none. */
    sampledAtMs = 0;
    /** Progress as the worker lists it, 0 to 100. */
    progressPercent = 0;
    /** Tail latency in milliseconds of a task that serves, otherwise processors in use (thousandths). */
    gauge = 0;

    private constructor(
        readonly task: Task,
        readonly worker: WorkerIncarnation,
        readonly number: number,
        /** Resources that the run holds of the worker's capacity. */
        readonly reservation: Resources,
        readonly startedAtMs: number,
    ) {}

    static create(task: Task, life: WorkerIncarnation, number: number, startedAtMs: number): Run {
        return new Run(task, life, number, task.step.reservation, startedAtMs);
    }

    get isStopRequested(): boolean {
        return this.stopReason !== undefined;
    }

    /** The worker says that the run is at work; only the first time counts. */
    confirm(nowMs: number): void {
        if (this.phase !== RunPhase.Running) {
            this.phase = RunPhase.Running;
            this.confirmedAtMs = nowMs;
        }
    }
}
