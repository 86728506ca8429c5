import type { Clock } from "@samphireward/core/clock";
import type { CellLimits } from "./cell-limits.js";
import type { Run } from "./run.js";
import { RunPhase } from "./run-phase.js";
import type { RunResults } from "./run-results.js";
import { StartOutcome } from "./start-outcome.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Pause after a worker refused a start, before it is offered work again. */
const RefusedPauseMs = 1_000;
/** Pause before a task that was refused is offered to another worker. */
const RetryAfterRefusalMs = 50;

/** Takes note of what became of the orders to workers. */
export class OrderResponses {
    private constructor(
        private readonly clock: Clock,
        private readonly limits: CellLimits,
        private readonly results: RunResults,
    ) {}

    static create(clock: Clock, limits: CellLimits, results: RunResults): OrderResponses {
        return new OrderResponses(clock, limits, results);
    }

    recordStart(run: Run, outcome: StartOutcome): void {
        const nowMs = this.clock.nowMs();
        if (run.worker.runs.get(run.task.name) !== run) {
            return;
        }
        if (outcome === StartOutcome.Started) {
            run.confirm(nowMs);
            return;
        }
        if (outcome === StartOutcome.Unknown || outcome === StartOutcome.Fenced) {
            run.phase = run.phase === RunPhase.Starting ? RunPhase.Unknown : run.phase;
            this.trackLateStart(run);
            return;
        }
        if (run.phase === RunPhase.Starting) {
            this.handleRefusal(run, outcome, nowMs);
        }
    }

    /** The worker confirmed a stop: the run has ended, and its start is refused from now on. */
    recordStop(life: WorkerIncarnation, task: string, number: number): void {
        const run = life.runs.get(task);
        if (run?.number === number) {
            run.stopConfirmedAtMs = this.clock.nowMs();
        }
        const start = life.lateStarts.get(task);
        if (start?.run.number === number && !start.isStopConfirmed) {
            life.lateStarts.set(task, { ...start, isStopConfirmed: true });
            start.run.task.notBeforeMs = this.clock.nowMs();
        }
    }

    recordPace(run: Run, percent: number): void {
        run.pacePercent = percent;
        run.worker.version++;
    }

    /**
     * A worker has started anew: starts without an answer may still be carried out in the new life. Until it has
     * confirmed a stop of them, they hold room there and their tasks start nowhere.
     */
    carryOver(before: WorkerIncarnation, life: WorkerIncarnation): void {
        for (const run of before.runs.values()) {
            if (run.phase === RunPhase.Starting) {
                this.trackLateStart(run);
            }
        }
        before.lateStarts.forEach((start, name) => {
            life.lateStarts.set(name, { ...start, stopSentAtMs: 0, isStopConfirmed: false });
            const { task } = start.run;
            task.notBeforeMs = Math.max(task.notBeforeMs, start.expiresAtMs);
        });
    }

    private trackLateStart(run: Run): void {
        const untilMs = this.clock.nowMs() + this.limits.lateOrderMs;
        run.worker.lateStarts.set(run.task.name, {
            run,
            expiresAtMs: untilMs,
            stopSentAtMs: 0,
            isStopConfirmed: false,
        });
    }

    private handleRefusal(run: Run, outcome: StartOutcome, nowMs: number): void {
        this.results.release(run);
        if (outcome === StartOutcome.RunNumberUsed) {
            run.task.lastRun += 1;
            return;
        }
        if (outcome === StartOutcome.NoPermit) {
            run.task.step.permits?.expire(run.worker);
            return;
        }
        run.worker.avoidUntilMs = Math.max(run.worker.avoidUntilMs, nowMs + RefusedPauseMs);
        run.task.notBeforeMs =
            nowMs + (outcome === StartOutcome.Invalid ? RefusedPauseMs : RetryAfterRefusalMs);
    }
}
