import type { Clock } from "@samphireward/core/clock";
import type { EventLog } from "./event-log.js";
import type { Metrics } from "./metrics.js";
import type { StopResult } from "./stop-result.js";

/**
 * Time without a further stop of a run after which its series ends. Longer than the time between two stops of a run
 * (at most 0.5 s) and the time-out of an order (1 s) together, so that unanswered stops stay in one series.
 */
const SeriesEndMs = 3_000;

/** Dependencies provided by the cell's owner. */
interface StopLogContext {
    readonly epoch: number;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

/** The stops of one run. */
interface StopSeries {
    readonly last: StopResult;
    readonly lastAtMs: number;
    /** Number of stops since the last line. */
    readonly unlogged: number;
}

/**
 * Logs stop orders and counts the stopped runs by reason. An unconfirmed stop is repeated several times a second, so a stop is logged only if its reason or
 * outcome differs from the last one of the same run. Each line has the number of stops since the line before, and a
 * series that ends with stops that were not logged gets one more line. The series that are open when the owner stops
 * get none, so that they do not displace the line about the loss of the cell.
 */
export class StopLog {
    /** Open series by worker, task and run, the one with the oldest last stop first. */
    private readonly seriesByRun = new Map<string, StopSeries>();

    private constructor(private readonly context: StopLogContext) {}

    static create(context: StopLogContext): StopLog {
        return new StopLog(context);
    }

    record(result: StopResult): void {
        const key = `${result.worker.key} ${result.task} ${result.number}`;
        const series = this.seriesByRun.get(key);
        const attempts = (series?.unlogged ?? 0) + 1;
        if (series?.last.reason !== result.reason) {
            this.context.metrics.runsStopped.inc({ reason: result.reason });
        }
        const isRepeated = series?.last.outcome === result.outcome && series.last.reason === result.reason;
        if (!isRepeated) {
            this.write(result, attempts);
        }
        this.seriesByRun.delete(key);
        const lastAtMs = this.context.clock.nowMs();
        this.seriesByRun.set(key, { last: result, lastAtMs, unlogged: isRepeated ? attempts : 0 });
    }

    /** Ends the series without a recent stop; to be called regularly. */
    endOldSeries(): void {
        const nowMs = this.context.clock.nowMs();
        for (const [key, { last, lastAtMs, unlogged }] of this.seriesByRun) {
            if (nowMs - lastAtMs < SeriesEndMs) {
                return;
            }
            this.seriesByRun.delete(key);
            if (unlogged > 0) {
                this.write(last, unlogged);
            }
        }
    }

    private write({ worker, task, number: run, reason, outcome }: StopResult, attempts: number): void {
        const { log, epoch } = this.context;
        log.write("stop", { task, run, worker: worker.entry.id, reason, outcome, attempts, epoch });
    }
}
