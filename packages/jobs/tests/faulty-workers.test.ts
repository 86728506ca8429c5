import t from "tap";
import { EndKind } from "../src/end-kind.js";
import { OrderKind } from "../src/order-kind.js";
import { StartOutcome } from "../src/start-outcome.js";
import type { WorkerIncarnation } from "../src/worker-incarnation.js";
import { SchedulerHarness } from "./scheduler-harness.js";

// Guards against a worker that fails every task at once, stays empty and therefore attracts all work.
t.test("load pattern: one worker fails all tasks that it starts", t => {
    const rig = SchedulerHarness.create();
    const bad = rig.addWorker("bad", { rack: "r2" });
    rig.submit({ count: 2 });
    rig.planAndStartAll().forEach(run => rig.reportEnd(run, EndKind.Failed));
    rig.addWorker("good");
    rig.clock.advance(100);
    const runs = rig.planAndStartAll();
    t.equal(runs.length, 2);
    t.ok(runs.every(run => run.worker !== bad));
    t.end();
});

/** Reports the same progress for all runs of a worker. */
const listProgress = (rig: SchedulerHarness, worker: WorkerIncarnation, percent: number): void => {
    rig.clock.advance(500);
    const rows = [...worker.runs.values()].map(run => ({
        ...SchedulerHarness.listedRun(run),
        progressPercent: percent,
        gauge: 1_000,
    }));
    rig.reportListing(worker, rows, []);
};

// Guards against tasks that remain on a worker without progress, and against new tasks being placed there.
t.test("load pattern: tasks on one worker make no progress", t => {
    const rig = SchedulerHarness.create();
    const still = rig.addWorker("still");
    rig.submit({ count: 3, estimatedMs: 1_000 });
    t.equal(rig.planAndStartAll().length, 3);
    rig.addWorker("good");
    for (let round = 0; round < 8; round++) {
        listProgress(rig, still, 5);
    }
    const stops = rig.planOrders().filter(order => order.kind === OrderKind.Stop);
    t.equal(stops.length, 3, "they migrate to the working worker");
    rig.submit({});
    t.ok(rig.planStarts().every(run => run.worker !== still));
    t.end();
});

// Guards against a tight loop in which a worker refuses the same task again and again.
t.test("load pattern: a worker refuses starts", t => {
    const rig = SchedulerHarness.create();
    rig.addWorker("busy");
    rig.submit({});
    rig.planStarts().forEach(run => rig.scheduler.responses.recordStart(run, StartOutcome.Refused));
    t.same(rig.planStarts(), []);
    rig.clock.advance(1_000);
    t.equal(rig.planStarts().length, 1);
    t.end();
});

// Guards against a lasting task that waits although a worker that failed twice has capacity.
t.test("load pattern: the only free capacity is on a worker that other tasks avoid", t => {
    const rig = SchedulerHarness.create();
    rig.addWorker("w1");
    rig.submit({ count: 2 });
    rig.planAndStartAll().forEach(run => rig.reportEnd(run, EndKind.Failed));
    rig.clock.advance(100);
    rig.submit({ lasting: true });
    const runs = rig.planStarts();
    t.equal(runs.length, 1, "the tasks that failed wait, the lasting one does not");
    t.equal(runs[0]?.task.step.spec.lasting, true);
    t.end();
});
