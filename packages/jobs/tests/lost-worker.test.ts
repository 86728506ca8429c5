import t from "tap";
import { EndKind } from "../src/end-kind.js";
import type { Order } from "../src/order.js";
import { minNeighbourAgeMs } from "../src/min-neighbour-age-ms.js";
import { OrderKind } from "../src/order-kind.js";
import { settledRunMs } from "../src/settled-run-ms.js";
import { StartOutcome } from "../src/start-outcome.js";
import { SchedulerHarness } from "./scheduler-harness.js";

// Guards against a lasting task that is never restarted: calls to a silent worker must not extend its lease.
t.test("the tasks of a silent worker start elsewhere once its lease has expired", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    harness.submit({ lasting: true });
    harness.scheduler.noteLeaseExtension(worker);
    t.equal(harness.planAndStartAll().length, 1);
    harness.addWorker("w2");
    harness.scheduler.noteUnreachable(worker);
    harness.clock.advance(4_000);
    t.same(harness.planStarts(), [], "the worker may still run it");
    harness.clock.advance(4_000);
    t.equal(harness.planStarts()[0]?.worker.entry.id, "w2");
    t.end();
});

// Guards against a task that runs twice because its worker is merely slow to answer.
t.test("an unanswered start reserves its capacity until the worker's listings show its outcome", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    harness.submit({});
    const [run] = harness.planStarts();
    t.ok(run);
    if (run === undefined) {
        t.end();
        return;
    }
    harness.scheduler.responses.recordStart(run, StartOutcome.Unknown);
    harness.addWorker("w2");
    t.same(harness.planStarts(), [], "it may be running");
    harness.reportListing(worker, [], []);
    t.same(harness.planStarts(), [], "it may still start");
    harness.scheduler.responses.recordStop(run.worker, run.task.name, run.number);
    harness.clock.advance(10);
    harness.reportListing(worker, [], []);
    t.equal(harness.planStarts().length, 1, "after a confirmed stop it can no longer start");
    t.end();
});

// Guards against a task that is never started again on a quiet worker: the worker answers a heartbeat after 1.4 s if no
// run ends, and each stop that was repeated meanwhile made the listing count as requested too early.
t.test("repeated stops of an unanswered start do not prolong the wait for the worker's listing", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    harness.submit({ lasting: true });
    const [run] = harness.planStarts();
    if (run !== undefined) {
        harness.scheduler.responses.recordStart(run, StartOutcome.Unknown);
    }
    const confirmStops = (): void => {
        for (const order of harness.planOrders()) {
            if (order.kind === OrderKind.Stop) {
                harness.scheduler.responses.recordStop(worker, order.task, order.number);
            }
        }
    };
    confirmStops();
    harness.clock.advance(100);
    const sentAtMs = harness.clock.nowMs();
    for (let tick = 0; tick < 14; tick++) {
        harness.clock.advance(100);
        confirmStops();
    }
    harness.reportListing(worker, [], [], sentAtMs);
    t.equal(harness.planStarts().length, 1);
    t.end();
});

// Guards against waiting for the lease of a worker that is known to have restarted.
t.test("a new incarnation of a worker releases the tasks of the previous one at once", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    harness.submit({});
    const runs = harness.planAndStartAll();
    t.equal(runs.length, 1);
    harness.reportListing(worker, runs.map(SchedulerHarness.listedRun), []);
    harness.addWorker("w1", { startedAtMs: 2 });
    t.equal(harness.planStarts().length, 1);
    t.end();
});

// Guards against capacity being reused while the run that reserves it is still being stopped.
t.test("a stopped run keeps its resources until its end is listed", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w1");
    const spec = harness.submit({ count: 16 });
    const runs = harness.planAndStartAll();
    t.equal(runs.length, 16);
    harness.scheduler.cancelJob(spec.id);
    harness.submit({});
    t.same(harness.planStarts(), [], "the worker is still full");
    const [first] = runs;
    if (first !== undefined) {
        harness.reportEnd(first, EndKind.Stopped);
    }
    t.equal(harness.planStarts().length, 1);
    t.end();
});

// Guards against an overcommitted worker: it restarts, is filled, and then carries out a start that was sent to its
// previous incarnation and whose stop was lost (model seed 8232).
t.test("an unanswered start reserves capacity in the next incarnation until its stop is confirmed", t => {
    const harness = SchedulerHarness.create();
    const previous = harness.addWorker("w1");
    harness.submit({ count: 16 });
    const sent = harness.planStarts();
    t.equal(sent.length, 16);
    const listed = sent.slice(0, 15);
    listed.forEach(run => harness.scheduler.responses.recordStart(run, StartOutcome.Started));
    sent.slice(15).forEach(run => harness.scheduler.responses.recordStart(run, StartOutcome.Unknown));
    harness.clock.advance(settledRunMs);
    harness.reportListing(previous, listed.map(SchedulerHarness.listedRun), []);
    const worker = harness.addWorker("w1", { startedAtMs: 2 });
    const orders = harness.planOrders();
    t.equal(
        orders.filter(({ kind }) => kind === OrderKind.Start).length,
        15,
        "one task's capacity is reserved",
    );
    const isStop = (order: Order): boolean => order.kind === OrderKind.Stop;
    t.ok(orders.some(isStop), "it is stopped at once");
    harness.clock.advance(150);
    const stop = harness.planOrders().find(isStop);
    // Model seed 26744: with half a second between two stops, the start arrived first.
    t.ok(stop, "an unconfirmed stop is repeated soon");
    if (stop?.kind === OrderKind.Stop) {
        harness.scheduler.responses.recordStop(worker, stop.task, stop.number);
    }
    t.same(harness.planStarts(), [], "it may have ended as done");
    harness.clock.advance(minNeighbourAgeMs);
    harness.reportListing(worker, [...worker.runs.values()].map(SchedulerHarness.listedRun), []);
    t.equal(harness.planStarts().length, 1, "it can no longer start");
    harness.clock.advance(1_000);
    t.notOk(harness.planOrders().some(isStop), "a confirmed stop is not repeated");
    t.end();
});

// Guards against ignoring a start that is in flight when its worker restarts: its response arrives too late to show
// that the new incarnation may carry it out.
t.test("a start in flight reserves capacity in the next incarnation as well", t => {
    const harness = SchedulerHarness.create();
    const previous = harness.addWorker("w1");
    harness.submit({ count: 16 });
    const sent = harness.planStarts();
    t.equal(sent.length, 16);
    const listed = sent.slice(1);
    listed.forEach(run => harness.scheduler.responses.recordStart(run, StartOutcome.Started));
    harness.clock.advance(settledRunMs);
    harness.reportListing(previous, listed.map(SchedulerHarness.listedRun), []);
    harness.addWorker("w1", { startedAtMs: 2 });
    sent.slice(0, 1).forEach(run => harness.scheduler.responses.recordStart(run, StartOutcome.Unknown));
    const kinds = harness.planOrders().map(({ kind }) => kind);
    t.equal(kinds.filter(kind => kind === OrderKind.Start).length, 15);
    t.equal(kinds.filter(kind => kind === OrderKind.Stop).length, 1);
    t.end();
});

// Guards against forgetting a late start when its worker deregisters and comes back while the start may still arrive.
t.test("an unanswered start is remembered while its worker is deregistered", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    harness.submit({});
    const [run] = harness.planStarts();
    t.ok(run);
    if (run !== undefined) {
        harness.scheduler.responses.recordStart(run, StartOutcome.Unknown);
        harness.scheduler.responses.recordStop(worker, run.task.name, run.number);
    }
    harness.clock.advance(10);
    harness.reportListing(worker, [], []);
    harness.scheduler.noteUnreachable(worker);
    harness.scheduler.deregisterWorker("w1");
    harness.clock.advance(8_000);
    harness.planOrders();
    harness.addWorker("w1", { startedAtMs: 2 });
    t.ok(harness.planOrders().some(({ kind }) => kind === OrderKind.Stop));
    t.end();
});
