import type { Clock } from "@samphireward/core/clock";
import type { CellLimits } from "./cell-limits.js";
import { maxLeaseDurationMs } from "./max-lease-duration-ms.js";
import type { Run } from "./run.js";
import { RunPhase } from "./run-phase.js";
import type { RunResults } from "./run-results.js";
import { StartOutcome } from "./start-outcome.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Time for which a worker that refused a start is avoided. */
const WorkerBackoffMs = 1_000;
/** Delay before a refused task is started on another worker. */
const TaskRetryDelayMs = 50;

/** State of a late start whose stop has not been sent to the current incarnation of the worker. */
const unconfirmed = { stopSentAtMs: 0, stopConfirmedAtMs: undefined, isOver: false } as const;

/** Applies the responses of workers to orders. */
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
        if (outcome === StartOutcome.Started) {
            run.task.noteStarted();
        }
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

    /**
     * Records a confirmed stop: the run has ended, and the worker refuses its start from now on. How it has ended is
     * known once a listing that is requested after this has been read, so only the first confirmation counts.
     */
    recordStop(worker: WorkerIncarnation, task: string, number: number): void {
        const run = worker.runs.get(task);
        if (run?.number === number && run.stopConfirmedAtMs === 0) {
            run.stopConfirmedAtMs = this.clock.nowMs();
        }
        const start = worker.lateStarts.get(task);
        if (start?.run.number === number && start.stopConfirmedAtMs === undefined) {
            worker.setLateStart(task, { ...start, stopConfirmedAtMs: this.clock.nowMs() });
        }
    }

    recordPace(run: Run, percent: number): void {
        run.pacePercent = percent;
        run.worker.version++;
    }

    /**
     * Carries starts over to the new incarnation of a restarted worker: unanswered ones, which it may still carry out,
     * and confirmed ones of runs that were never listed, which it may have carried out already. Until it has confirmed
     * their stop and listed its runs after that, they reserve capacity there and their tasks are not started anywhere.
     */
    carryOver(previous: WorkerIncarnation, worker: WorkerIncarnation): void {
        for (const run of previous.runs.values()) {
            if (run.phase !== RunPhase.Unknown && !run.isListed) {
                this.trackLateStart(run);
            }
        }
        previous.lateStarts.forEach((start, name) => {
            worker.setLateStart(name, { ...start, ...unconfirmed });
            // Its deadline is a time of the earlier incarnation's clock, which the worker shortens to its maximum.
            const leaseEndsAtMs = start.expiresAtMs + maxLeaseDurationMs(this.limits.maxLeaseMs);
            worker.leaseEndsAtMs = Math.max(worker.leaseEndsAtMs, leaseEndsAtMs);
            start.run.task.waitForLateStart(worker.entry.id, start.expiresAtMs);
        });
    }

    /** Gives up a start that was not confirmed before the lease was over; it is stopped if the worker answers again. */
    giveUpStart(run: Run): void {
        if (run.phase !== RunPhase.Running) {
            this.trackLateStart(run, true);
        }
    }

    private trackLateStart(run: Run, isGivenUp = false): void {
        const untilMs = this.clock.nowMs() + this.limits.lateOrderMs;
        run.worker.setLateStart(run.task.name, {
            run,
            expiresAtMs: untilMs,
            isGivenUp,
            ...unconfirmed,
        });
    }

    private handleRefusal(run: Run, outcome: StartOutcome, nowMs: number): void {
        const isCopy = run.task.copy === run;
        if (isCopy) {
            // The refusal does not delay the task itself, whose original may end at any time.
            run.task.copyNotBeforeMs = nowMs + WorkerBackoffMs;
        }
        this.results.withdraw(run);
        if (outcome === StartOutcome.RunNumberUsed) {
            run.task.lastRun += 1;
            return;
        }
        if (outcome === StartOutcome.NoPermit) {
            run.task.step.permits?.expire(run.worker);
            return;
        }
        run.worker.avoidUntilMs = Math.max(run.worker.avoidUntilMs, nowMs + WorkerBackoffMs);
        if (!isCopy) {
            run.task.notBeforeMs =
                nowMs + (outcome === StartOutcome.Invalid ? WorkerBackoffMs : TaskRetryDelayMs);
        }
    }
}
