import { ManualClock } from "@samphireward/core/manual-clock";
import { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import { StopReason } from "@samphireward/jobs/stop-reason";
import { Err, Ok } from "ts-results-es";
import t from "tap";
import { HeartbeatPause } from "../src/heartbeat-pause.js";
import { Metrics } from "../src/metrics.js";
import { OrderFailure } from "../src/order-failure.js";
import { StopLog } from "../src/stop-log.js";
import type { StopResult } from "../src/stop-result.js";
import { WorkerLink } from "../src/worker-link.js";
import { certainOwnership } from "./certain-ownership.js";
import { oneTaskJob } from "./one-task-job.js";
import { oneWorker } from "./one-worker.js";
import { RecordingLog } from "./recording-log.js";
import { ScriptedWorkerClient } from "./scripted-worker-client.js";

const task = `${oneTaskJob.id}.0.0.0`;
/** Interval at which a late start is stopped until its stop is confirmed. */
const RepeatMs = 150;
/** Longer than the time after which a series ends. */
const QuietMs = 4_000;

const createStopLog = (): {
    clock: ManualClock;
    log: RecordingLog;
    metrics: Metrics;
    record: (outcome: StopResult["outcome"], other?: Partial<StopResult>) => void;
    endOldSeries: () => void;
} => {
    const clock = ManualClock.create(1_000);
    const log = RecordingLog.create();
    const metrics = Metrics.create();
    const stopLog = StopLog.create({ epoch: 3, clock, log, metrics });
    const worker = CellScheduler.create(3, clock, cellLimits).registerWorker(oneWorker);
    const base = { worker, task, number: 1, reason: StopReason.LateStart };
    return {
        clock,
        log,
        metrics,
        record: (outcome, other = {}) => {
            stopLog.record({ ...base, outcome, ...other });
            clock.advance(RepeatMs);
            stopLog.endOldSeries();
        },
        endOldSeries: () => stopLog.endOldSeries(),
    };
};

// Guards against a log that consists of the repeated stops of late starts, so that other lines are dropped.
t.test("a stop that is repeated until it is confirmed has two lines and its count", t => {
    const { log, record } = createStopLog();
    for (let attempt = 0; attempt < 80; attempt++) {
        record(OrderFailure.Unknown);
    }
    record("stopped");
    const line = { event: "stop", task, run: 1, worker: "w1", reason: "late-start" };
    t.strictSame(log.lines, [
        { ...line, outcome: "unknown", attempts: 1, epoch: 3 },
        { ...line, outcome: "stopped", attempts: 80, epoch: 3 },
    ]);
    t.end();
});

// Guards against attempts that no line counts because the stop was never confirmed.
t.test("a series of stops that ends without another outcome is counted once", t => {
    const { clock, log, record, endOldSeries } = createStopLog();
    for (let attempt = 0; attempt < 5; attempt++) {
        record(OrderFailure.Unknown);
    }
    for (let round = 0; round < 2; round++) {
        clock.advance(QuietMs);
        endOldSeries();
    }
    t.strictSame(
        log.lines.map(({ outcome, attempts }) => [outcome, attempts]),
        [
            ["unknown", 1],
            ["unknown", 4],
        ],
    );
    record(OrderFailure.Unknown);
    clock.advance(QuietMs);
    endOldSeries();
    t.equal(log.lines.length, 3, "a single stop has one line");
    t.end();
});

// Guards against a stop of another run, or for another reason, that is taken for a repetition.
t.test("stops of other runs and for other reasons have their own lines", t => {
    const { log, record } = createStopLog();
    record(OrderFailure.Unknown);
    record(OrderFailure.Unknown, { number: 2 });
    record(OrderFailure.Unknown, { task: `${oneTaskJob.id}.0.0.1` });
    record(OrderFailure.Unknown, { reason: StopReason.Unwanted });
    record(OrderFailure.Refused, { reason: StopReason.Unwanted });
    t.equal(log.lines.length, 5);
    t.ok(log.lines.every(({ attempts }) => attempts === 1));
    t.end();
});

// Guards against a count of stops by reason that grows with each repetition, so that it does not show how many lasting
// tasks were preempted.
t.test("the metrics count each stopped run once by its reason", async t => {
    const { metrics, record } = createStopLog();
    const reason = StopReason.Preempted;
    for (const number of [1, 2]) {
        record(OrderFailure.Unknown, { number, reason });
        record(OrderFailure.Refused, { number, reason });
        record("stopped", { number, reason });
    }
    record("stopped", { number: 2, reason: StopReason.Unwanted });
    const text = await metrics.text();
    t.match(text, /runs_stopped_total\{reason="makes-way"\} 2\n/);
    t.match(text, /runs_stopped_total\{reason="unwanted"\} 1\n/);
});

// Guards against a link that logs its stops by itself, or that no longer counts each of them in the metrics.
t.test("a link logs its stops in series and counts each of them", async t => {
    const clock = ManualClock.create(1_000);
    const log = RecordingLog.create();
    const metrics = Metrics.create();
    const scheduler = CellScheduler.create(1, clock, cellLimits);
    const stops = [Err(OrderFailure.Unknown), Err(OrderFailure.Unknown), Ok(undefined)];
    const client = ScriptedWorkerClient.create({ clock, stops });
    const link = WorkerLink.create(scheduler.registerWorker(oneWorker), client, {
        scheduler,
        clock,
        log,
        stopLog: StopLog.create({ epoch: 1, clock, log, metrics }),
        metrics,
        fencingToken: 1,
        leaseMs: cellLimits.leaseMs,
        proof: certainOwnership(clock),
        heartbeatPause: HeartbeatPause.create(),
        listener: { onChange: () => undefined, onFenced: () => undefined },
    });
    for (let attempt = 0; attempt < 3; attempt++) {
        await link.stop(task, 1, StopReason.LateStart);
    }
    t.match(log.lines, [
        { event: "stop", outcome: "unknown", attempts: 1 },
        { event: "stop", outcome: "stopped", attempts: 2 },
    ]);
    const text = await metrics.text();
    t.match(text, /stops_total\{outcome="unknown"\} 2/);
    t.match(text, /stops_total\{outcome="stopped"\} 1/);
});
