import type { Clock } from "@samphireward/core/clock";
import { diagnoseLastingWait } from "./diagnose-lasting-wait.js";
import type { JobRegistry } from "./job-registry.js";
import type { LastingWait } from "./lasting-wait.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import type { QueueRules } from "./queue-rules.js";
import { RunPhase } from "./run-phase.js";
import type { Task } from "./task.js";
import type { WorkerFleet } from "./worker-fleet.js";

/** A task that has been without a confirmed run for longer than this is reported. */
const MinWaitMs = 2_000;
/** Shortest time between two reports of a task. */
const RepeatAfterMs = 2_000;
/** Most tasks of one report: each diagnosis looks at all workers, and the volume of the log is limited. */
const MaxTasksPerReport = 5;

/** Dependencies provided by the scheduler. */
interface WaitsContext {
    readonly clock: Clock;
    readonly jobs: JobRegistry;
    readonly fleet: WorkerFleet;
    readonly rules: QueueRules;
    readonly effects: NeighbourEffects;
    /** Workers of previous owners that are not read and on which tasks of a job may be running. */
    readonly unreadWorkersFor: (job: string) => number;
}

/** Reports the lasting tasks that have been without a run for long, and why. It changes no decision. */
export class LastingWaits {
    /** Monotonic time of the last report by task. */
    private readonly reportedAtMs = new WeakMap<Task, number>();

    private constructor(private readonly context: WaitsContext) {}

    static create(context: WaitsContext): LastingWaits {
        return new LastingWaits(context);
    }

    /** Returns the waits to report now, the longest first; to be called about once a second. */
    take(): readonly LastingWait[] {
        const nowMs = this.context.clock.nowMs();
        return [...this.waitingTasks(nowMs)]
            .filter(
                ({ task, waitedMs }) =>
                    waitedMs > MinWaitMs &&
                    nowMs - (this.reportedAtMs.get(task) ?? -Infinity) >= RepeatAfterMs,
            )
            .sort((a, b) => b.waitedMs - a.waitedMs)
            .slice(0, MaxTasksPerReport)
            .map(({ task, waitedMs }) => {
                this.reportedAtMs.set(task, nowMs);
                return diagnoseLastingWait(task, waitedMs, this.context, nowMs);
            });
    }

    /** Lasting tasks without a confirmed run, with the time since the last one ended or the owner first saw the task. */
    private *waitingTasks(nowMs: number): Generator<{ readonly task: Task; readonly waitedMs: number }> {
        for (const job of this.context.jobs.undecided) {
            for (const step of job.openSteps()) {
                for (const task of step.spec.lasting ? step.tasks : []) {
                    if (!task.isDone && task.run?.phase !== RunPhase.Running) {
                        task.notRunningSinceMs ??= task.readySinceMs ?? nowMs;
                        yield { task, waitedMs: nowMs - task.notRunningSinceMs };
                    }
                }
            }
        }
    }
}
