import { ManualClock } from "@samphireward/core/manual-clock";
import { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import t from "tap";
import { HeartbeatPause } from "../src/heartbeat-pause.js";
import type { HeartbeatResponse } from "../src/heartbeat-response.js";
import { Metrics } from "../src/metrics.js";
import { OrderFailure } from "../src/order-failure.js";
import { StopLog } from "../src/stop-log.js";
import { WorkerLink } from "../src/worker-link.js";
import { certainOwnership } from "./certain-ownership.js";
import { NullLog } from "./null-log.js";
import { oneWorker } from "./one-worker.js";
import { ScriptedWorkerClient } from "./scripted-worker-client.js";

/** Wait that a heartbeat asks of a reachable worker that has listed its runs and has no fillers beside serving tasks. */
const WaitMs = 1_400;

/** Sends one heartbeat, which takes the given time, to a worker that has listed its runs before and is reachable. */
const sendHeartbeat = async (
    metrics: Metrics,
    heartbeat: Result<HeartbeatResponse, OrderFailure>,
    heartbeatMs: number,
): Promise<void> => {
    const clock = ManualClock.create(1_000);
    const scheduler = CellScheduler.create(1, clock, cellLimits);
    const worker = scheduler.registerWorker(oneWorker);
    worker.hasListedRuns = true;
    worker.isReachable = true;
    const link = WorkerLink.create(worker, ScriptedWorkerClient.create({ clock, heartbeat, heartbeatMs }), {
        scheduler,
        clock,
        log: NullLog.create(),
        stopLog: StopLog.create({ epoch: 1, clock, log: NullLog.create(), metrics }),
        metrics,
        fencingToken: 1,
        leaseMs: cellLimits.leaseMs,
        proof: certainOwnership(clock),
        heartbeatPause: HeartbeatPause.create(),
        listener: { onChange: () => undefined, onFenced: () => undefined },
    });
    const ended = link.run();
    await new Promise(resolve => setImmediate(resolve));
    link.close();
    await ended;
};

const listedBy = (startedAtMs: number): Result<HeartbeatResponse, OrderFailure> =>
    Ok({ listing: { startedAtMs, running: [], ended: [], isPartial: false }, clockMs: 0 });

// Guards against silent, fenced and restarted workers that look alike in the metrics, so that a saturated link cannot
// be told from a lease that ends too early.
t.test("each heartbeat is counted by its outcome", async t => {
    const metrics = Metrics.create();
    await sendHeartbeat(metrics, listedBy(oneWorker.startedAtMs), 0);
    await sendHeartbeat(metrics, listedBy(oneWorker.startedAtMs + 1), 0);
    for (const failure of Object.values(OrderFailure)) {
        await sendHeartbeat(metrics, Err(failure), 0);
    }
    const text = await metrics.text();
    const counts = [...text.matchAll(/heartbeats_total\{outcome="(.*)"\} (\d+)/g)].map(([, ...row]) => row);
    t.strictSame(
        new Map(counts as [string, string][]),
        new Map(
            Object.entries({
                answered: "1",
                "other-life": "2",
                fenced: "1",
                refused: "1",
                unknown: "1",
            }),
        ),
    );
});

// Guards against the wait that a worker was asked for hiding how late its answers are.
t.test("the time of an answered heartbeat is measured beyond the wait", async t => {
    const metrics = Metrics.create();
    await sendHeartbeat(metrics, listedBy(oneWorker.startedAtMs), WaitMs + 300);
    await sendHeartbeat(metrics, listedBy(oneWorker.startedAtMs), WaitMs / 2);
    await sendHeartbeat(metrics, Err(OrderFailure.Unknown), WaitMs + 800);
    const text = await metrics.text();
    t.match(text, /heartbeat_seconds_count 2/, "a heartbeat without an answer has no time");
    t.match(text, /heartbeat_seconds_sum 0\.3\n/, "an answer before the end of the wait counts as 0");
});
