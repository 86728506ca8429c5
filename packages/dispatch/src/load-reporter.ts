import type { Clock } from "@samphireward/core/clock";
import type { CellLoad } from "@samphireward/jobs/cell-load";
import type { LastingWait } from "@samphireward/jobs/lasting-wait";
import type { EventLog } from "./event-log.js";
import type { Metrics } from "./metrics.js";

/** Dependencies provided by the cell's owner. */
interface ReporterContext {
    readonly cell: number;
    readonly cellCount: () => number;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

/** What the owner's thread did since the last report. */
const noWork = { plans: 0, planMs: 0, maxPlanMs: 0, lagMs: 0 };

/** Logs the load of an owned cell and of its owner's thread, and keeps the gauges of both. */
export class LoadReporter {
    private work = noWork;
    private isClosed = false;

    private constructor(private readonly context: ReporterContext) {
        context.metrics.ownedCells.inc();
    }

    static create(context: ReporterContext): LoadReporter {
        return new LoadReporter(context);
    }

    /** Records a plan that began at a monotonic time and has just ended. */
    recordPlan(startedAtMs: number): void {
        const { clock, metrics } = this.context;
        const tookMs = clock.nowMs() - startedAtMs;
        const { plans, planMs, maxPlanMs } = this.work;
        this.work = {
            ...this.work,
            plans: plans + 1,
            planMs: planMs + tookMs,
            maxPlanMs: Math.max(maxPlanMs, tookMs),
        };
        metrics.planSeconds.observe(tookMs / 1_000);
    }

    /** Records a timer of the owner that has just fired and was due at a monotonic time. */
    recordTimer(dueAtMs: number): void {
        const lagMs = Math.max(this.work.lagMs, this.context.clock.nowMs() - dueAtMs);
        this.work = { ...this.work, lagMs };
    }

    /** Reports the load, and the lasting tasks that have waited for long. */
    report(load: CellLoad, waits: readonly LastingWait[] = []): void {
        if (this.isClosed) {
            return;
        }
        const { cell, cellCount, log, metrics } = this.context;
        const { plans, planMs, maxPlanMs, lagMs } = this.work;
        this.work = noWork;
        log.write("cell-load", {
            cell,
            cells: cellCount(),
            ...load,
            plans,
            planMs: Math.round(planMs),
            maxPlanMs: Math.round(maxPlanMs),
            lagMs: Math.round(lagMs),
        });
        metrics.workers.set({ cell, state: "reachable" }, load.reachable);
        metrics.workers.set({ cell, state: "unreachable" }, load.workers - load.reachable);
        metrics.ownerLagSeconds.set({ cell }, lagMs / 1_000);
        for (const wait of waits) {
            log.write("lasting-wait", { cell, ...wait });
            metrics.lastingWaits.inc({ reason: wait.reason });
        }
    }

    /** Removes the cell's gauges: a process that has lost a cell must not report it as it last saw it. */
    close(): void {
        if (this.isClosed) {
            return;
        }
        const { cell, metrics } = this.context;
        this.isClosed = true;
        metrics.ownedCells.dec();
        metrics.workers.remove({ cell, state: "reachable" });
        metrics.workers.remove({ cell, state: "unreachable" });
        metrics.ownerLagSeconds.remove({ cell });
    }
}
