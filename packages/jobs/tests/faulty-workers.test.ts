import t from "tap";
import { EndKind } from "../src/end-kind.js";
import { OrderKind } from "../src/order-kind.js";
import { StartOutcome } from "../src/start-outcome.js";
import type { WorkerIncarnation } from "../src/worker-incarnation.js";
import { SchedulerHarness } from "./scheduler-harness.js";

// Guards against a worker that fails every task at once, stays empty and therefore attracts all work.
t.test("load pattern: one worker fails all tasks that it starts", t => {
    const harness = SchedulerHarness.create();
    const bad = harness.addWorker("bad", { rack: "r2" });
    harness.submit({ count: 2 });
    harness.planAndStartAll().forEach(run => harness.reportEnd(run, EndKind.Failed));
    harness.addWorker("good");
    harness.clock.advance(100);
    const runs = harness.planAndStartAll();
    t.equal(runs.length, 2);
    t.ok(runs.every(run => run.worker !== bad));
    t.end();
});

/** Reports the same progress for all runs of a worker. */
const listProgress = (harness: SchedulerHarness, worker: WorkerIncarnation, percent: number): void => {
    harness.clock.advance(500);
    const rows = [...worker.runs.values()].map(run => ({
        ...SchedulerHarness.listedRun(run),
        progressPercent: percent,
        gauge: 1_000,
    }));
    harness.reportListing(worker, rows, []);
};

// Guards against tasks that remain on a worker without progress, and against new tasks being placed there.
t.test("load pattern: tasks on one worker make no progress", t => {
    const harness = SchedulerHarness.create();
    const still = harness.addWorker("still");
    harness.submit({ count: 3, estimatedMs: 1_000 });
    t.equal(harness.planAndStartAll().length, 3);
    harness.addWorker("good");
    for (let round = 0; round < 8; round++) {
        listProgress(harness, still, 5);
    }
    const stops = harness.planOrders().filter(order => order.kind === OrderKind.Stop);
    t.equal(stops.length, 3, "they migrate to the working worker");
    harness.submit({});
    t.ok(harness.planStarts().every(run => run.worker !== still));
    t.end();
});

// Guards against a tight loop in which a worker refuses the same task again and again.
t.test("load pattern: a worker refuses starts", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("busy");
    harness.submit({});
    harness.planStarts().forEach(run => harness.scheduler.responses.recordStart(run, StartOutcome.Refused));
    t.same(harness.planStarts(), []);
    harness.clock.advance(1_000);
    t.equal(harness.planStarts().length, 1);
    t.end();
});

// Guards against a lasting task that waits although a worker that failed twice has capacity.
t.test("load pattern: the only free capacity is on a worker that other tasks avoid", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w1");
    harness.submit({ count: 2 });
    harness.planAndStartAll().forEach(run => harness.reportEnd(run, EndKind.Failed));
    harness.clock.advance(100);
    harness.submit({ lasting: true });
    const runs = harness.planStarts();
    t.equal(runs.length, 1, "the tasks that failed wait, the lasting one does not");
    t.equal(runs[0]?.task.step.spec.lasting, true);
    t.end();
});
