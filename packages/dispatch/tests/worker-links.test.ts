import { ManualClock } from "@samphireward/core/manual-clock";
import { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import { OrderKind } from "@samphireward/jobs/order-kind";
import { StopReason } from "@samphireward/jobs/stop-reason";
import t from "tap";
import { HeartbeatPause } from "../src/heartbeat-pause.js";
import { Metrics } from "../src/metrics.js";
import { WorkerLinks } from "../src/worker-links.js";
import { certainOwnership } from "./certain-ownership.js";
import { oneTaskJob } from "./one-task-job.js";
import { oneWorker } from "./one-worker.js";
import { RecordingLog } from "./recording-log.js";
import { ScriptedWorkerClient } from "./scripted-worker-client.js";

// Guards against series of stops that never end, so that their counts are not logged and their entries stay in memory.
t.test("a series of stops ends with a plan some time after its last stop", async t => {
    const clock = ManualClock.create(1_000);
    const log = RecordingLog.create();
    const scheduler = CellScheduler.create(1, clock, cellLimits);
    const worker = scheduler.registerWorker(oneWorker);
    const links = WorkerLinks.create({
        epoch: 1,
        scheduler,
        createWorkerClient: () => ScriptedWorkerClient.create({ clock }),
        proof: certainOwnership(clock),
        clock,
        log,
        metrics: Metrics.create(),
        limits: cellLimits,
        heartbeatPause: HeartbeatPause.create(),
        listener: { onChange: () => undefined, onFenced: () => undefined },
    });
    links.sync();
    const task = `${oneTaskJob.id}.0.0.0`;
    for (let attempt = 0; attempt < 3; attempt++) {
        links.send({ kind: OrderKind.Stop, worker, task, number: 1, reason: StopReason.LateStart });
        await new Promise(resolve => setImmediate(resolve));
    }
    links.sync();
    t.match(log.lines, [{ event: "stop", attempts: 1 }]);
    clock.advance(4_000);
    links.sync();
    links.close();
    t.match(log.lines, [
        { event: "stop", attempts: 1 },
        { event: "stop", attempts: 2 },
    ]);
});
