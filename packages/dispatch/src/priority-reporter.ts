import type { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import type { EventLog } from "./event-log.js";
import type { Metrics } from "./metrics.js";

/** Dependencies provided by the cell's owner. */
interface ReporterContext {
    readonly cell: number;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

/** Reports what waits and what is late in an owned cell for each priority of its queues. */
export class PriorityReporter {
    /** Priorities of which jobs were late in the last report. */
    private readonly late = new Set<number>();
    /** Labels of the gauges that have a value. */
    private readonly waiting = new Map<string, { priority: number; rule: string }>();
    private readonly priorities = new Set<number>();

    private constructor(
        private readonly context: ReporterContext,
        private readonly scheduler: Pick<CellScheduler, "priorityLoads" | "startOrder">,
    ) {}

    static create(
        context: ReporterContext,
        scheduler: Pick<CellScheduler, "priorityLoads" | "startOrder">,
    ): PriorityReporter {
        return new PriorityReporter(context, scheduler);
    }

    /** Updates the gauges, and logs the priorities of which jobs are late since this report, or not any more. */
    report(): void {
        const { cell, log, metrics } = this.context;
        const late = new Map<number, number>();
        this.clearGauges();
        for (const { priority, waiting, lateJobs } of this.scheduler.priorityLoads) {
            this.priorities.add(priority);
            metrics.lateJobs.set({ cell, priority }, lateJobs);
            for (const [rule, count] of waiting) {
                this.waiting.set(`${priority} ${rule}`, { priority, rule });
                metrics.waitingTasks.set({ cell, priority, rule }, count);
            }
            if (lateJobs > 0) {
                late.set(priority, lateJobs);
            }
        }
        const order = this.scheduler.startOrder;
        for (const priority of new Set([...late.keys(), ...this.late])) {
            const jobs = late.get(priority) ?? 0;
            if (jobs > 0 !== this.late.has(priority)) {
                log.write(jobs > 0 ? "jobs-late" : "jobs-in-time", { cell, priority, jobs, order });
            }
        }
        this.late.clear();
        late.forEach((_, priority) => this.late.add(priority));
    }

    /** Removes the gauges: a process that has lost a cell must not report it as it last saw it. */
    close(): void {
        const { cell, metrics } = this.context;
        this.clearGauges();
        this.priorities.forEach(priority => metrics.lateJobs.remove({ cell, priority }));
        this.priorities.clear();
    }

    private clearGauges(): void {
        const { cell, metrics } = this.context;
        this.waiting.forEach(labels => metrics.waitingTasks.remove({ cell, ...labels }));
        this.waiting.clear();
        this.priorities.forEach(priority => metrics.lateJobs.set({ cell, priority }, 0));
    }
}
