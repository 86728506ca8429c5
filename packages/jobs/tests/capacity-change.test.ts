import { Resources } from "@samphireward/core/resources";
import t from "tap";
import { EndKind } from "../src/end-kind.js";
import { OrderKind } from "../src/order-kind.js";
import { StartOutcome } from "../src/start-outcome.js";
import type { WorkerIncarnation } from "../src/worker-incarnation.js";
import { SchedulerHarness } from "./scheduler-harness.js";

/** Longer than the time for which a worker that refused a start is avoided. */
const BackoffMs = 1_100;
/** Longer than a lasting task runs before it may be preempted, and than a short task waits for that. */
const PreemptibleMs = 4_000;

/** Reports another number of processors in the registration of the same incarnation. */
const setProcessors = (harness: SchedulerHarness, worker: WorkerIncarnation, processors: number): void => {
    const capacity = Resources.create({ processors, memoryMb: 64_000 });
    t.equal(harness.scheduler.registerWorker({ ...worker.entry, capacity }), worker);
};

const list = (harness: SchedulerHarness, worker: WorkerIncarnation): void => {
    harness.scheduler.noteLeaseExtension(worker);
    harness.reportListing(worker, [...worker.runs.values()].map(SchedulerHarness.listedRun), []);
};

// Guards against starts on a worker whose running tasks already need more than it has left.
t.test("nothing starts on a worker that has shrunk below what runs there, until enough has ended", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    harness.submit({ count: 8 });
    const runs = harness.planAndStartAll();
    t.equal(runs.length, 8);
    list(harness, worker);
    setProcessors(harness, worker, 6);
    harness.submit({ count: 4 });
    t.same(harness.planStarts(), [], "8 of 6 processors are taken");
    for (const [index, run] of runs.slice(0, 3).entries()) {
        harness.reportEnd(run, EndKind.Done);
        const expected = index < 2 ? 0 : 1;
        t.equal(harness.planStarts().length, expected, `${7 - index} of 6 processors are taken`);
    }
    t.end();
});

// Guards against capacity that stays unused after it has come back.
t.test("tasks start at once on a worker that has grown again", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    setProcessors(harness, worker, 2);
    harness.submit({ count: 10 });
    t.equal(harness.planAndStartAll().length, 2);
    list(harness, worker);
    setProcessors(harness, worker, 8);
    t.equal(harness.planAndStartAll().length, 6);
    setProcessors(harness, worker, 16);
    t.equal(harness.planAndStartAll().length, 2);
    t.end();
});

// Guards against starts in flight that are not counted: they were planned before the worker shrank and confirmed after.
t.test("starts that are planned before a worker shrinks count when they are answered", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    harness.submit({ count: 4 });
    const sent = harness.planStarts();
    t.equal(sent.length, 4);
    setProcessors(harness, worker, 4);
    harness.submit({ count: 2 });
    t.same(harness.planStarts(), [], "the four in flight take all that is left");
    const [confirmed = [], refused = []] = [sent.slice(0, 3), sent.slice(3)];
    confirmed.forEach(run => harness.scheduler.responses.recordStart(run, StartOutcome.Started));
    refused.forEach(run => harness.scheduler.responses.recordStart(run, StartOutcome.Refused));
    list(harness, worker);
    harness.clock.advance(BackoffMs);
    list(harness, worker);
    t.equal(harness.planStarts().length, 1, "three of four are taken");
    t.end();
});

// Guards against an unanswered start that is carried out after its worker has shrunk and has been filled.
t.test("an unanswered start counts on a worker that shrinks meanwhile", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    harness.submit({ count: 3 });
    const sent = harness.planStarts();
    sent.forEach(run => harness.scheduler.responses.recordStart(run, StartOutcome.Unknown));
    setProcessors(harness, worker, 3);
    harness.submit({});
    harness.scheduler.noteLeaseExtension(worker);
    harness.reportListing(worker, [], []);
    t.same(harness.planStarts(), [], "none is listed, but all may still start");
    t.end();
});

// Guards against a start into the room of a run that is being stopped, on a worker that has shrunk.
t.test("what is being stopped counts on a worker that has shrunk, until its end is listed", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    const spec = harness.submit({ count: 4 });
    const runs = harness.planAndStartAll();
    list(harness, worker);
    setProcessors(harness, worker, 4);
    harness.scheduler.cancelJob(spec.id);
    harness.submit({});
    const stops = harness.planOrders();
    t.equal(stops.filter(({ kind }) => kind === OrderKind.Stop).length, 4);
    t.equal(stops.length, 4);
    const [first] = runs;
    if (first !== undefined) {
        harness.scheduler.responses.recordStop(worker, first.task.name, first.number);
        t.same(harness.planStarts(), [], "the stop is confirmed, the end is not listed");
        harness.reportEnd(first, EndKind.Stopped);
    }
    t.equal(harness.planStarts().length, 1);
    t.end();
});

// Guards against lasting tasks that are stopped for a short one which then finds no room, because the worker is over its
// shrunk capacity.
t.test("no lasting task makes way where its room is not enough since the worker has shrunk", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    harness.submit({ count: 8, lasting: true });
    t.equal(harness.planAndStartAll().length, 8);
    list(harness, worker);
    harness.clock.advance(PreemptibleMs);
    list(harness, worker);
    setProcessors(harness, worker, 6);
    harness.submit({});
    harness.planOrders();
    harness.clock.advance(BackoffMs);
    list(harness, worker);
    t.same(harness.planOrders(), []);
    t.end();
});
