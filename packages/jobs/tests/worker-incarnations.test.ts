import t from "tap";
import { EndKind } from "../src/end-kind.js";
import { JobState } from "../src/job-state.js";
import type { Run } from "../src/run.js";
import { StartOutcome } from "../src/start-outcome.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const OldStartMs = 100;
const NewStartMs = 200;

// Guards against tasks that run twice: a registration that was read before the worker restarted replaced the record of
// the new incarnation, and all of its tasks were started elsewhere although they ran on.
t.test("a registration of an older incarnation does not replace the newer one", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1", { startedAtMs: NewStartMs });
    harness.submit({});
    const [run] = harness.planAndStartAll();
    t.equal(run?.worker, worker);
    harness.addWorker("w2");
    t.equal(harness.addUnreadWorker("w1", { startedAtMs: OldStartMs }), worker);
    t.equal(harness.scheduler.fleet.get("w1"), worker);
    t.same(harness.planStarts(), [], "the task still runs");
    t.equal(worker.runs.size, 1);
    t.end();
});

// Guards against a worker that is never used again: its wall clock was set back before it restarted, so that its
// registration looks older than the incarnation that has ended.
t.test("a worker whose clock was set back is used again once the last lease is over", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1", { startedAtMs: NewStartMs });
    harness.submit({});
    t.equal(harness.planAndStartAll().length, 1);
    harness.scheduler.noteUnreachable(worker);
    harness.addUnreadWorker("w1", { startedAtMs: OldStartMs });
    harness.clock.advance(SchedulerHarness.inheritedLeaseDurationMs);
    t.same(harness.planStarts(), []);
    t.equal(worker.runs.size, 0, "the lease is over");
    harness.addWorker("w1", { startedAtMs: OldStartMs });
    t.equal(harness.planStarts()[0]?.worker.entry.startedAtMs, OldStartMs);
    t.end();
});

// Guards against starts by the capacity and labels of an earlier incarnation: the registration read last is older than
// the incarnation that answers.
t.test("nothing starts on a worker while the registration read last is that of an older incarnation", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w1", { startedAtMs: NewStartMs });
    harness.addUnreadWorker("w1", { startedAtMs: OldStartMs });
    harness.submit({});
    t.same(harness.planStarts(), []);
    harness.addUnreadWorker("w1", { startedAtMs: NewStartMs });
    t.equal(harness.planStarts().length, 1);
    t.end();
});

// Guards against a task that runs twice: its start reached the next incarnation of the worker, which has the same id and
// address, and the owner took the confirmation for one of the incarnation that it knew.
t.test("a run that only its start confirmed may belong to the next incarnation", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w1", { startedAtMs: OldStartMs });
    harness.submit({});
    const [run] = harness.planAndStartAll();
    t.ok(run);
    harness.addWorker("w2");
    const next = harness.addUnreadWorker("w1", { startedAtMs: NewStartMs });
    t.same(harness.planStarts(), [], "it may be running");
    if (run !== undefined) {
        harness.reportListing(next, [SchedulerHarness.listedRun(run)], []);
    }
    t.same(harness.planOrders(), []);
    t.equal(next.runs.size, 1, "it is adopted");
    t.end();
});

// Guards against a start after an end that is acknowledged later: the late start had been carried out in the next
// incarnation and had ended as done before its stop was confirmed.
t.test("a late start whose stop is confirmed may have ended as done", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w1", { startedAtMs: OldStartMs });
    const spec = harness.submit({});
    const [run] = harness.planAndStartAll();
    t.ok(run);
    harness.addWorker("w2");
    const next = harness.addWorker("w1", { startedAtMs: NewStartMs });
    if (run === undefined) {
        t.end();
        return;
    }
    harness.scheduler.responses.recordStop(next, run.task.name, run.number);
    t.same(harness.planStarts(), [], "its end may not be listed yet");
    harness.clock.advance(10);
    const end = { sequence: 1, task: run.task.name, number: run.number, kind: EndKind.Done, checkpoint: "" };
    harness.reportListing(next, [], [end]);
    t.equal(harness.scheduler.jobs.get(spec.id)?.endState, JobState.Completed);
    t.end();
});

// Guards against tasks that run twice: a registration that is missing, or that cannot be read for a while, says nothing
// about the worker's runs.
t.test("the runs of a worker whose registration is missing go on", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1", { startedAtMs: OldStartMs });
    harness.submit({});
    const [run] = harness.planAndStartAll();
    t.ok(run);
    harness.addWorker("w2");
    harness.scheduler.deregisterWorker("w1");
    harness.clock.advance(SchedulerHarness.inheritedLeaseDurationMs);
    t.same(harness.planOrders(), []);
    harness.addUnreadWorker("w1", { startedAtMs: OldStartMs });
    t.same(harness.planOrders(), []);
    t.equal(run?.task.run, run);
    t.equal(worker.runs.size, 1);
    t.end();
});

/** A task whose first start got no answer and was stopped on w1, and whose second start is in flight to w2. */
const startedTwice = (): { harness: SchedulerHarness; first: Run; second: Run } => {
    const harness = SchedulerHarness.create();
    const { responses } = harness.scheduler;
    const w1 = harness.addWorker("w1", { startedAtMs: OldStartMs });
    harness.submit({});
    const [first] = harness.planStarts();
    if (first === undefined) {
        throw new Error("the task was not started on w1");
    }
    responses.recordStart(first, StartOutcome.Unknown);
    responses.recordStop(w1, first.task.name, first.number);
    harness.clock.advance(10);
    harness.reportListing(w1, [], []);
    harness.scheduler.noteUnreachable(w1);
    harness.addWorker("w2", { startedAtMs: OldStartMs });
    const [second] = harness.planStarts();
    if (second === undefined) {
        throw new Error("the task was not started on w2");
    }
    return { harness, first, second };
};

// Guards against a task that runs twice: two restarted workers may each carry out a start of it, and the confirmed stop
// on one of them ended the wait for both.
t.test("a task waits for each of its late starts", t => {
    const { harness, first, second } = startedTwice();
    const [w1, w2] = ["w1", "w2"].map(id => harness.addWorker(id, { startedAtMs: NewStartMs }));
    harness.addWorker("w3");
    t.same(harness.planStarts(), [], "both workers may carry out a start");
    if (w1 !== undefined) {
        harness.scheduler.responses.recordStop(w1, first.task.name, first.number);
        harness.clock.advance(10);
        harness.reportListing(w1, [], []);
    }
    t.same(harness.planStarts(), [], "w2 may still carry out its start");
    if (w2 !== undefined) {
        harness.scheduler.responses.recordStop(w2, second.task.name, second.number);
        harness.clock.advance(10);
        harness.reportListing(w2, [], []);
    }
    t.equal(harness.planStarts().length, 1, "no start is left");
    t.end();
});

// Guards against a task that runs twice: a refused start replaced the time until which a late start on another worker,
// which had started again meanwhile, may be carried out.
t.test("a refused start does not end the wait for a late start", t => {
    const { harness, second } = startedTwice();
    harness.addWorker("w1", { startedAtMs: NewStartMs });
    harness.scheduler.responses.recordStart(second, StartOutcome.Refused);
    harness.addWorker("w3");
    harness.clock.advance(1_000);
    t.same(harness.planStarts(), [], "w1 may still carry out its start");
    t.end();
});

// Guards against a task that never runs again: its run was adopted on the record of a worker that had been forgotten just
// before its listing arrived, and was stopped as a second one on the record that replaced it.
t.test("a listing of a worker that has been forgotten changes nothing", t => {
    const harness = SchedulerHarness.create(2);
    const spec = harness.makeJob({});
    harness.inherit(spec);
    harness.scheduler.expectInheritedWorkers(["w1/100"]);
    const forgotten = harness.addUnreadWorker("w1", { startedAtMs: OldStartMs });
    harness.scheduler.deregisterWorker("w1");
    harness.planOrders();
    t.equal(harness.scheduler.fleet.get("w1"), undefined);
    const row = { task: `${spec.id}.0.0.0`, number: 1, checkpoint: "", progressPercent: 1, gauge: 0 };
    harness.reportListing(forgotten, [row], []);
    const worker = harness.addUnreadWorker("w1", { startedAtMs: OldStartMs });
    harness.reportListing(worker, [row], []);
    t.same(harness.planOrders(), [], "its run continues");
    t.equal(harness.scheduler.jobs.get(spec.id)?.findTask(0, 0, 0)?.run?.worker, worker);
    t.end();
});
