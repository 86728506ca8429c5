import type { CellLoad } from "@samphireward/jobs/cell-load";
import type { EventLog } from "./event-log.js";
import type { Metrics } from "./metrics.js";

/** Dependencies provided by the cell's owner. */
interface ReporterContext {
    readonly cell: number;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

/** Logs the load of an owned cell and keeps its gauges. */
export class LoadReporter {
    private isClosed = false;

    private constructor(private readonly context: ReporterContext) {}

    static create(context: ReporterContext): LoadReporter {
        return new LoadReporter(context);
    }

    report(load: CellLoad): void {
        if (this.isClosed) {
            return;
        }
        const { cell, log, metrics } = this.context;
        log.write("cell-load", { cell, ...load });
        metrics.workers.set({ cell, state: "reachable" }, load.reachable);
        metrics.workers.set({ cell, state: "unreachable" }, load.workers - load.reachable);
    }

    /** Removes the cell's gauges: a process that has lost a cell must not report the workers as it last saw them. */
    close(): void {
        const { cell, metrics } = this.context;
        this.isClosed = true;
        metrics.workers.remove({ cell, state: "reachable" });
        metrics.workers.remove({ cell, state: "unreachable" });
    }
}
