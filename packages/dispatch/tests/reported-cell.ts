import { ManualClock } from "@samphireward/core/manual-clock";
import { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import { queueRule } from "@samphireward/jobs/fixtures/queue-rule";
import type { ListedEnd } from "@samphireward/jobs/listed-end";
import { OrderKind } from "@samphireward/jobs/order-kind";
import { StartOutcome } from "@samphireward/jobs/start-outcome";
import { unstoredTrials } from "@samphireward/jobs/unstored-trials";
import type { WorkerIncarnation } from "@samphireward/jobs/worker-incarnation";
import { EndReporter } from "../src/end-reporter.js";
import { Metrics } from "../src/metrics.js";
import { oneTaskJob } from "./one-task-job.js";
import { oneWorker } from "./one-worker.js";
import { RecordingLog } from "./recording-log.js";

/** A cell on a manual clock whose ends are reported to a recording log. */
export class ReportedCell {
    readonly clock = ManualClock.create(1_000);
    readonly log = RecordingLog.create();
    readonly metrics = Metrics.create();
    readonly scheduler: CellScheduler;

    private constructor(readonly epoch: number) {
        this.scheduler = CellScheduler.create(epoch, this.clock, cellLimits, EndReporter.create(this));
        this.scheduler.setQueues([queueRule(oneTaskJob.queue)]);
    }

    static create(epoch = 1): ReportedCell {
        return new ReportedCell(epoch);
    }

    /** Registers a worker, renews its lease and reports an empty listing for it. */
    addWorker(id: string, startedAtMs = 1): WorkerIncarnation {
        const worker = this.scheduler.registerWorker({ ...oneWorker, id, startedAtMs });
        this.reportListing(worker, []);
        this.scheduler.noteLeaseExtension(worker);
        return worker;
    }

    reportListing(worker: WorkerIncarnation, ended: readonly ListedEnd[]): void {
        const { startedAtMs } = worker.entry;
        const listing = { startedAtMs, running: [], ended, isPartial: false };
        this.scheduler.noteListing(worker, listing, this.clock.nowMs());
    }

    /** Lines of the log with one of these events. */
    lines(...events: readonly string[]): typeof this.log.lines {
        return this.log.lines.filter(line => events.includes(String(line["event"])));
    }

    /** Plans, with stored progress, and confirms every start. */
    startAll(): void {
        const orders = this.scheduler.plan();
        const trials = this.scheduler.jobs.takeChanged().flatMap(unstoredTrials);
        trials.forEach(trial => (trial.isStored = true));
        for (const order of trials.length === 0 ? orders : [...orders, ...this.scheduler.plan()]) {
            if (order.kind === OrderKind.Start) {
                this.scheduler.responses.recordStart(order.run, StartOutcome.Started);
            }
        }
    }

    /** Makes a worker unreachable until its lease is over. */
    loseWorker(worker: WorkerIncarnation, forMs: number): void {
        this.scheduler.noteUnreachable(worker);
        this.clock.advance(forMs);
        this.scheduler.plan();
    }
}
