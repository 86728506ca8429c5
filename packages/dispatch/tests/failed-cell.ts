import type { Job } from "@samphireward/jobs/job";
import type { WorkerIncarnation } from "@samphireward/jobs/worker-incarnation";
import { queueRule } from "@samphireward/jobs/fixtures/queue-rule";
import { CellDirectory } from "../src/cell-directory.js";
import type { CellCandidate } from "../src/cell-candidate.js";
import { cellKeys } from "../src/cell-keys.js";
import { CommitLog } from "../src/commit-log.js";
import { ProgressWriter } from "../src/progress-writer.js";
import { ManualStore } from "./manual-store.js";
import { oneTaskJob } from "./one-task-job.js";
import { ReportedCell } from "./reported-cell.js";

/** Configuration that the rules of the cell are from. */
const ConfigVersion = 9;
/** Longer than a lease and the time in which other losses are awaited. */
const LeaseOverMs = 7_000;
const PlanIntervalMs = 100;
const MaxPlans = 200;

/** A cell whose only job fails. */
export class FailedCell {
    readonly cell = ReportedCell.create();
    readonly store = ManualStore.create();
    private workerCount = 0;

    private constructor() {
        this.cell.scheduler.setQueues([queueRule(oneTaskJob.queue)], ConfigVersion);
        this.cell.scheduler.addJob(oneTaskJob);
    }

    /** Its task fails as often as its queue allows. */
    static createByAttempts(): FailedCell {
        const failed = new FailedCell();
        const worker = failed.addWorker();
        for (let sequence = 1; sequence <= 2; sequence++) {
            failed.startOn(worker);
            const run = { task: `${oneTaskJob.id}.0.0.0`, number: sequence };
            failed.cell.reportListing(worker, [{ ...run, sequence, kind: "failed", checkpoint: "" }]);
        }
        return failed;
    }

    /** Its task crashes one worker after the other, each of which is replaced by the next. */
    static createByCrashes(): FailedCell {
        const failed = new FailedCell();
        let worker = failed.addWorker();
        while (failed.job.endState === undefined && failed.startOn(worker)) {
            failed.cell.loseWorker(worker, LeaseOverMs);
            worker = failed.addWorker();
            failed.cell.startAll();
        }
        return failed;
    }

    get job(): Job {
        const job = this.cell.scheduler.jobs.get(oneTaskJob.id);
        if (job === undefined) {
            throw new Error("expected the job");
        }
        return job;
    }

    /** The directory of a process that owns the cell. */
    get cells(): CellDirectory {
        const cells = CellDirectory.create();
        cells.set([{ owner: { scheduler: this.cell.scheduler } } as unknown as CellCandidate]);
        return cells;
    }

    /** Writes the progress and returns the stored text of the job. */
    async write(): Promise<string> {
        const { scheduler, clock, log, metrics } = this.cell;
        const { signal } = new AbortController();
        const commits = CommitLog.create(this.store, 0, { epoch: 1, sequence: 0 }, 1, signal);
        scheduler.jobs.markChanged(this.job);
        const context = { cell: 0, scheduler, commits, clock, log, metrics, onLost: () => undefined };
        let isWritten = false;
        const written = ProgressWriter.create(context)
            .flush()
            .finally(() => (isWritten = true));
        const answer = async (): Promise<void> => {
            while (!isWritten) {
                await this.store.answerNext();
            }
        };
        await Promise.all([written, answer()]);
        const writes = this.store.transactions.flatMap(transaction => transaction.writes);
        return writes.find(({ key }) => key === cellKeys.progress(0, oneTaskJob.id))?.value ?? "";
    }

    private addWorker(): WorkerIncarnation {
        this.workerCount++;
        return this.cell.addWorker(`w${this.workerCount}`, this.workerCount);
    }

    /** Plans until the worker has a run; returns false if it gets none. */
    private startOn(worker: WorkerIncarnation): boolean {
        for (let plan = 0; plan < MaxPlans && worker.runs.size === 0; plan++) {
            this.cell.clock.advance(PlanIntervalMs);
            this.cell.scheduler.noteLeaseExtension(worker);
            this.cell.reportListing(worker, []);
            this.cell.startAll();
        }
        return worker.runs.size > 0;
    }
}
