import t from "tap";
import { StartOutcome } from "../src/start-outcome.js";
import { cellLimits } from "./fixtures/cell-limits.js";
import { SchedulerHarness } from "./scheduler-harness.js";

/** Longest time, by the owner's clock, of a lease that a worker with a clock 2% slow shortens to its maximum. */
const LongestLeaseMs = cellLimits.maxLeaseMs / 0.98;

// Guards against tasks that run twice: a late start to an earlier incarnation, with a deadline by that one's clock,
// extends the lease of the next incarnation to the worker's maximum, also when it is refused for its number.
t.test("a restarted worker may hold the longest lease while a late start can reach it", t => {
    const harness = SchedulerHarness.create();
    harness.scheduler.expectInheritedWorkers([]);
    harness.addWorker("w1");
    harness.submit({});
    const [late] = harness.planStarts();
    t.ok(late);
    if (late === undefined) {
        t.end();
        return;
    }
    harness.scheduler.responses.recordStart(late, StartOutcome.Unknown);
    const worker = harness.addWorker("w1", { startedAtMs: 2 });
    harness.scheduler.responses.recordStop(worker, late.task.name, late.number);
    harness.clock.advance(10);
    harness.reportListing(worker, [], []);
    harness.scheduler.noteLeaseExtension(worker);
    const [run] = harness.planAndStartAll();
    t.equal(run?.task, late.task);
    harness.addWorker("w2");
    harness.scheduler.noteUnreachable(worker);
    harness.clock.advance(cellLimits.lateOrderMs - 10);
    t.same(harness.planStarts(), [], "the late start may be carried out now");
    harness.clock.advance(LongestLeaseMs);
    t.same(harness.planStarts(), [], "its lease has not expired");
    harness.clock.advance(1_000);
    t.equal(harness.planStarts()[0]?.worker.entry.id, "w2");
    t.end();
});

// Guards against tasks that run twice: a call to an earlier incarnation, with a deadline by that one's clock, extended
// the lease of the next incarnation before the owner knew of it.
t.test("a worker may hold the longest lease when it is first listed", t => {
    const harness = SchedulerHarness.create();
    harness.scheduler.expectInheritedWorkers([]);
    const worker = harness.addWorker("w1");
    harness.submit({});
    t.equal(harness.planAndStartAll().length, 1);
    harness.addWorker("w2");
    harness.scheduler.noteUnreachable(worker);
    harness.clock.advance(LongestLeaseMs);
    t.same(harness.planStarts(), []);
    harness.clock.advance(1_000);
    t.equal(harness.planStarts()[0]?.worker.entry.id, "w2");
    t.end();
});

// Guards against a start that may still be carried out: the owner was suspended after it had sent the order, so that the
// lease was over before the missing response was noted.
t.test("a start without a response yet is treated like an unanswered one when the lease is over", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    harness.submit({});
    const [run] = harness.planStarts();
    t.ok(run);
    harness.addWorker("w2");
    harness.scheduler.noteUnreachable(worker);
    harness.clock.advance(cellLimits.lateOrderMs);
    t.same(harness.planStarts(), [], "it may still be carried out");
    harness.clock.advance(cellLimits.leaseMs);
    t.equal(harness.planStarts()[0]?.worker.entry.id, "w2");
    t.end();
});

// Guards against a lease that is extended for ever: what a listing says after the lease was counted as over neither
// brings the run back nor starts the task again.
t.test(
    "a listing that arrives after the lease was counted as over changes no task that has started elsewhere",
    t => {
        const harness = SchedulerHarness.create();
        const worker = harness.addWorker("w1");
        harness.submit({});
        const [first] = harness.planAndStartAll();
        harness.addWorker("w2");
        harness.scheduler.noteUnreachable(worker);
        harness.clock.advance(SchedulerHarness.inheritedLeaseDurationMs);
        const [second] = harness.planAndStartAll();
        t.equal(second?.worker.entry.id, "w2");
        if (first !== undefined) {
            const end = { sequence: 1, task: first.task.name, number: first.number, checkpoint: "" };
            harness.reportListing(worker, [], [{ ...end, kind: "lapsed" }]);
        }
        t.same(harness.planOrders(), []);
        t.equal(second?.task.run, second);
        t.end();
    },
);
