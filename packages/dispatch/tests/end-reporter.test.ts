import { CopyOutcome } from "@samphireward/jobs/copy-outcome";
import t from "tap";
import { EndReporter } from "../src/end-reporter.js";
import { oneTaskJob } from "./one-task-job.js";
import { ReportedCell } from "./reported-cell.js";

const task = `${oneTaskJob.id}.0.0.0`;

// Guards against an incident in which the log cannot tell a lease that ended early from a worker that was silent for
// its whole lease.
t.test("an end by an expired lease says when the worker was last heard and when its lease ended", async t => {
    const cell = ReportedCell.create();
    const worker = cell.addWorker("w1");
    cell.scheduler.addJob(oneTaskJob);
    cell.startAll();
    cell.loseWorker(worker, 7_000);
    const leaseEndedAgoMs = cell.clock.nowMs() - worker.leaseEndsAtMs;
    t.ok(leaseEndedAgoMs > 0);
    t.strictSame(cell.lines("end", "end-ignored"), [
        {
            event: "end",
            task,
            run: 1,
            worker: "w1",
            how: "lapsed",
            reason: "lease-over",
            failures: 0,
            epoch: 1,
            bornMs: worker.entry.startedAtMs,
            lastContactAgoMs: 7_000,
            leaseEndedAgoMs: Math.round(leaseEndedAgoMs),
        },
    ]);
    t.match(await cell.metrics.text(), /runs_lapsed_total\{reason="lease-over"\} 1/);
});

// Guards against a log that cannot tell a restarted worker from a silent one.
t.test("an end by a restart says when both incarnations of the worker started", async t => {
    const cell = ReportedCell.create();
    cell.addWorker("w1", 5);
    cell.scheduler.addJob(oneTaskJob);
    cell.startAll();
    cell.addWorker("w1", 7);
    t.match(cell.lines("end", "end-ignored"), [
        { event: "end", task, how: "lapsed", reason: "restarted", bornMs: 5, newBornMs: 7 },
    ]);
    t.match(await cell.metrics.text(), /runs_lapsed_total\{reason="restarted"\} 1/);
});

// Guards against a run that disappears from a worker's listing being taken for one of a silent worker.
t.test("an end of a run that a listing lacks is told from the end that a worker listed", async t => {
    const cell = ReportedCell.create();
    const worker = cell.addWorker("w1");
    cell.scheduler.addJob(oneTaskJob);
    cell.startAll();
    cell.clock.advance(10);
    cell.reportListing(worker, []);
    cell.startAll();
    cell.reportListing(worker, [{ sequence: 1, task, number: 2, kind: "done", checkpoint: "" }]);
    t.match(cell.lines("end", "end-ignored"), [
        { event: "end", run: 1, how: "lapsed", reason: "missing", bornMs: worker.entry.startedAtMs },
        { event: "end", run: 2, how: "done", reason: "listed" },
    ]);
    const text = await cell.metrics.text();
    t.match(text, /runs_lapsed_total\{reason="missing"\} 1/);
    t.notMatch(text, /runs_lapsed_total\{reason="listed"\}/);
});

// Guards against work that ran twice and cannot be found by its task's name: the second end is not applied.
t.test("an end that is not applied is logged with the current run and counted", async t => {
    const cell = ReportedCell.create();
    const silent = cell.addWorker("w1");
    cell.scheduler.addJob(oneTaskJob);
    cell.startAll();
    cell.loseWorker(silent, 7_000);
    cell.addWorker("w2");
    cell.startAll();
    cell.reportListing(silent, [{ sequence: 1, task, number: 1, kind: "done", checkpoint: "" }]);
    t.strictSame(cell.lines("end", "end-ignored").slice(1), [
        {
            event: "end-ignored",
            task,
            run: 1,
            worker: "w1",
            how: "done",
            reason: "not-current",
            current: 2,
            epoch: 1,
        },
    ]);
    t.match(await cell.metrics.text(), /ends_ignored_total\{kind="done"\} 1/);
});

// Guards against copies whose use and cost operators cannot tell.
t.test("copies are logged and counted by outcome, with the work that they waste", async t => {
    const cell = ReportedCell.create();
    const worker = cell.addWorker("w1");
    cell.scheduler.addJob(oneTaskJob);
    cell.startAll();
    const [copy] = worker.runs.values();
    t.ok(copy !== undefined);
    if (copy !== undefined) {
        const reporter = EndReporter.create(cell);
        reporter.onCopy(copy, CopyOutcome.Started);
        cell.clock.advance(1_500);
        reporter.onCopy(copy, CopyOutcome.Won);
        reporter.onCopyWaste(3_000);
    }
    t.match(cell.lines("copy"), [
        { task, run: 1, worker: "w1", outcome: "started" },
        { task, run: 1, worker: "w1", outcome: "won", tookMs: 1_500 },
    ]);
    const text = await cell.metrics.text();
    t.match(text, /copies_total\{outcome="started"\} 1/);
    t.match(text, /copies_total\{outcome="won"\} 1/);
    t.match(text, /copy_wasted_processor_seconds_total 3/);
});
