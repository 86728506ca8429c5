import { ManualClock } from "@samphireward/core/manual-clock";
import { LastingWaitReason } from "@samphireward/jobs/lasting-wait-reason";
import t from "tap";
import { LoadReporter } from "../src/load-reporter.js";
import { Metrics } from "../src/metrics.js";
import { RecordingLog } from "./recording-log.js";

const load = {
    jobs: 1,
    runs: 2,
    waitingLasting: 0,
    waitingFillers: 0,
    waitingOthers: 0,
    waitingSuspected: 0,
    trials: 0,
    workers: 5,
    reachable: 3,
    unread: 0,
    reserved: 1,
    processors: 8,
};
const noWork = { plans: 0, planMs: 0, maxPlanMs: 0, lagMs: 0 };

const setUp = (): {
    clock: ManualClock;
    log: RecordingLog;
    metrics: Metrics;
    createReporter: (cell: number) => LoadReporter;
} => {
    const clock = ManualClock.create(1_000);
    const log = RecordingLog.create();
    const metrics = Metrics.create();
    const createReporter = (cell: number): LoadReporter =>
        LoadReporter.create({ cell, cellCount: () => 2, clock, log, metrics });
    return { clock, log, metrics, createReporter };
};

// Guards against a loss of many workers that only a log of the same second shows.
t.test("the metrics show how many workers of each owned cell are reachable", async t => {
    const { log, metrics, createReporter } = setUp();
    createReporter(0).report(load);
    createReporter(1).report({ ...load, reachable: 5 });
    const text = await metrics.text();
    t.match(text, /workers\{cell="0",state="reachable"\} 3\n/);
    t.match(text, /workers\{cell="0",state="unreachable"\} 2\n/);
    t.match(text, /workers\{cell="1",state="unreachable"\} 0\n/);
    t.strictSame(log.lines[0], { event: "cell-load", cell: 0, cells: 2, ...load, ...noWork });
});

// Guards against a process that reports the workers of a cell as it last saw them after it has lost the cell: the
// maintenance loop of an owner may end after the owner.
t.test("a cell that is not owned any more has no workers in the metrics", async t => {
    const { log, metrics, createReporter } = setUp();
    const reporter = createReporter(0);
    reporter.report(load);
    reporter.close();
    reporter.report(load);
    const text = await metrics.text();
    t.notMatch(text, /workers\{/);
    t.notMatch(text, /owner_lag_seconds\{/);
    t.equal(log.lines.length, 1);
});

// Guards against one process that owns all cells and cannot be told from one that owns its share.
t.test("the metrics show how many cells a process owns", async t => {
    const { metrics, createReporter } = setUp();
    const owned = async (): Promise<string | undefined> =>
        /^samphireward_owned_cells (\d+)$/m.exec(await metrics.text())?.[1];
    t.equal(await owned(), "0", "none yet");
    const [first] = [createReporter(0), createReporter(1)];
    t.equal(await owned(), "2");
    first.close();
    first.close();
    t.equal(await owned(), "1", "a cell is subtracted once");
});

// Guards against a saturated owner that looks idle: orders that are planned or sent late, and nothing that shows it.
t.test("each report has the plans and the longest lateness of a timer since the one before", async t => {
    const { clock, log, metrics, createReporter } = setUp();
    const reporter = createReporter(0);
    for (const tookMs of [4, 31.4]) {
        const startedAtMs = clock.nowMs();
        clock.advance(tookMs);
        reporter.recordPlan(startedAtMs);
    }
    reporter.recordTimer(clock.nowMs() - 190);
    reporter.recordTimer(clock.nowMs() - 12);
    reporter.recordTimer(clock.nowMs() + 1);
    reporter.report(load);
    t.match(log.lines[0], { plans: 2, planMs: 35, maxPlanMs: 31, lagMs: 190 });
    const text = await metrics.text();
    t.match(text, /owner_lag_seconds\{cell="0"\} 0\.19\n/);
    t.match(text, /plan_seconds_bucket\{le="0\.005"\} 1\n/);
    t.match(text, /plan_seconds_count 2\n/);
    reporter.report(load);
    t.match(log.lines[1], noWork, "the next second has its own figures");
    t.match(await metrics.text(), /owner_lag_seconds\{cell="0"\} 0\n/);
});

// Guards against waits that leave no trace once the log of that second is gone, or that a former owner reports.
t.test("a long wait has a line, and the metrics count it by its reason", async t => {
    const { log, metrics, createReporter } = setUp();
    const reporter = createReporter(1);
    const wait = {
        task: "00000000000000aa.0.0.0",
        waitedMs: 2_500,
        reason: LastingWaitReason.NoCapacity,
        delayMs: undefined,
        worker: undefined,
        unread: undefined,
        processors: 8,
        reachable: 3,
        suitable: 2,
        withCapacity: 0,
        maxFree: 6.5,
        free: 13,
    };
    reporter.report(load, [wait]);
    t.strictSame(log.lines[1], { event: "lasting-wait", cell: 1, ...wait });
    reporter.report(load);
    reporter.close();
    reporter.report(load, [wait]);
    t.equal(log.lines.length, 3);
    t.match(await metrics.text(), /lasting_waits_total\{reason="no-capacity"\} 1\n/);
});
