import { Resources } from "@samphireward/core/resources";
import t from "tap";
import type { CellScheduler } from "../src/cell-scheduler.js";
import { maxLeaseDurationMs } from "../src/max-lease-duration-ms.js";
import { OrderKind } from "../src/order-kind.js";
import type { Run } from "../src/run.js";
import { StartOutcome } from "../src/start-outcome.js";
import type { WorkerIncarnation } from "../src/worker-incarnation.js";
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

// Guards against lasting tasks that are not started for 10 s when their worker is lost soon after a change of owner: the
// longest lease was counted for each worker that a new owner had just read, whatever the previous owner had granted.
t.test("a new owner counts the leases that the previous owner may have left", t => {
    const longest = maxLeaseDurationMs(cellLimits.maxLeaseMs);
    const granted = maxLeaseDurationMs(cellLimits.leaseMs);
    const { leaseMs } = cellLimits;
    const table: [name: string, inherit: (scheduler: CellScheduler) => void, leaseMs: number][] = [
        [
            "a worker that the previous owner knew",
            scheduler => scheduler.expectInheritedWorkers(["w1/1"], leaseMs, new Map()),
            granted,
        ],
        [
            "a worker that had restarted just before",
            scheduler => scheduler.expectInheritedWorkers(["w1/1"], leaseMs, new Map([["w1/1", 6_000]])),
            6_000,
        ],
        [
            "a worker that the previous owner did not know",
            scheduler => scheduler.expectInheritedWorkers(["w1/0"], leaseMs, new Map()),
            longest,
        ],
        [
            "a previous owner that has not stored the leases",
            scheduler => scheduler.expectInheritedWorkers(["w1/1"], leaseMs),
            longest,
        ],
        ["no previous owner", scheduler => scheduler.expectNoInheritedWorkers(), granted],
    ];
    for (const [name, inherit, longestLeaseMs] of table) {
        const harness = SchedulerHarness.create(2);
        inherit(harness.scheduler);
        const worker = harness.addWorker("w1");
        harness.submit({});
        t.equal(harness.planAndStartAll().length, 1, name);
        harness.addWorker("w2");
        harness.scheduler.noteUnreachable(worker);
        harness.clock.advance(longestLeaseMs + cellLimits.stopMs - 1);
        t.same(harness.planStarts(), [], `${name}: the lease has not expired`);
        harness.clock.advance(2);
        t.equal(harness.planStarts().length, 1, `${name}: it has`);
    }
    t.end();
});

// Guards against tasks that are not started elsewhere for 18 s after their worker is lost: a late start to the worker
// counted under the previous owner, whose calls the worker refuses once it has answered the new one.
t.test("a worker that a new owner has read holds no lease beyond the longest one", t => {
    const harness = SchedulerHarness.create(2);
    const lateMs = cellLimits.lateOrderMs + maxLeaseDurationMs(cellLimits.maxLeaseMs);
    harness.scheduler.expectInheritedWorkers(["w1/1"], cellLimits.leaseMs, new Map([["w1/1", lateMs]]));
    const worker = harness.addWorker("w1");
    harness.submit({});
    t.equal(harness.planAndStartAll().length, 1);
    harness.addWorker("w2");
    harness.scheduler.noteUnreachable(worker);
    harness.clock.advance(LongestLeaseMs);
    t.same(harness.planStarts(), [], "the lease has not expired");
    harness.clock.advance(1_000);
    t.equal(harness.planStarts()[0]?.worker.entry.id, "w2");
    t.end();
});

// Guards against a next owner that counts too little for a worker that has restarted, or was not read by this owner.
t.test("leases that may last longer than granted ones are reported", t => {
    const harness = SchedulerHarness.create(2);
    const { scheduler } = harness;
    scheduler.expectInheritedWorkers(["w1/1", "lost/1"], cellLimits.leaseMs, new Map([["lost/1", 9_000]]));
    const worker = harness.addWorker("w1");
    scheduler.noteLeaseExtension(worker);
    harness.addUnreadWorker("w2");
    const longest = Math.ceil(maxLeaseDurationMs(cellLimits.maxLeaseMs));
    const expected = [
        ["lost/1", 9_000],
        ["w2/1", longest],
    ] as const;
    t.strictSame([...scheduler.leases.longMs].sort(), expected);
    harness.submit({});
    const [late] = harness.planStarts();
    if (late !== undefined) {
        scheduler.responses.recordStart(late, StartOutcome.Unknown);
    }
    harness.addWorker("w1", { startedAtMs: 2 });
    t.equal(
        scheduler.leases.longMs.get("w1/2"),
        cellLimits.lateOrderMs + longest,
        "a late start may reach it",
    );
    harness.clock.advance(cellLimits.lateOrderMs + longest);
    harness.planOrders();
    t.strictSame([...scheduler.leases.longMs.keys()], ["w2/1"]);
    t.end();
});

/** Starts a task on a worker that falls silent before it answers; `hasTimedOut`: the missing response was noted. */
const loseUnansweredStart = (
    hasTimedOut: boolean,
): { harness: SchedulerHarness; worker: WorkerIncarnation; late: Run } => {
    const harness = SchedulerHarness.create();
    harness.scheduler.expectInheritedWorkers([]);
    const worker = harness.addWorker("w1");
    harness.submit({});
    harness.scheduler.noteLeaseExtension(worker);
    const [late] = harness.planStarts();
    if (late === undefined) {
        throw new Error("expected a start");
    }
    harness.addWorker("w2");
    harness.scheduler.noteUnreachable(worker);
    if (hasTimedOut) {
        harness.scheduler.responses.recordStart(late, StartOutcome.Unknown);
    }
    return { harness, worker, late };
};

// Guards against a task that is not started for 16 s because its worker was lost before it answered the start: the worker
// refuses the start after its deadline, which is not later than the lease.
for (const hasTimedOut of [true, false]) {
    const response = hasTimedOut ? "without a response" : "whose response is awaited";
    t.test(`a start ${response} waits no longer than the lease of its worker`, t => {
        const { harness, worker, late } = loseUnansweredStart(hasTimedOut);
        harness.clock.advance(LongestLeaseMs);
        t.same(harness.planStarts(), [], "the lease has not expired");
        harness.clock.advance(1_000);
        const [run] = harness.planAndStartAll();
        t.equal(run?.worker.entry.id, "w2");
        harness.scheduler.responses.recordStart(late, StartOutcome.Unknown);
        t.equal(late.task.run, run);
        t.ok(worker.lateStarts.has(late.task.name), "its resources stay reserved");
        t.end();
    });
}

// Guards against a worker that is gone for good but gets heartbeats until the owner changes: it was never forgotten,
// because a start without a response to it was.
t.test(
    "a worker that is gone is forgotten once a start without a response cannot be carried out any more",
    t => {
        const { harness, worker } = loseUnansweredStart(true);
        const { scheduler } = harness;
        scheduler.deregisterWorker("w1");
        harness.clock.advance(LongestLeaseMs + 1_000);
        harness.planAndStartAll();
        t.equal(scheduler.fleet.get("w1"), worker, "it may answer and carry the start out");
        harness.clock.advance(cellLimits.lateOrderMs + 1);
        harness.planOrders();
        harness.planOrders();
        t.equal(scheduler.fleet.get("w1"), undefined);
        t.end();
    },
);

// Guards against a task that runs twice: its worker was cut off longer than a lease and answers again, while the start
// may still be carried out. Nothing may extend the lease before the worker has confirmed the stop.
t.test(
    "the lease of a worker is not extended while a start may be carried out of a task that runs elsewhere",
    t => {
        const { harness, worker, late } = loseUnansweredStart(true);
        harness.clock.advance(LongestLeaseMs + 1_000);
        t.equal(harness.planAndStartAll()[0]?.worker.entry.id, "w2");
        harness.reportListing(worker, [], []);
        t.equal(worker.mayExtendLease, false);
        harness.submit({ resources: Resources.create({ processors: 16, memoryMb: 1 }) });
        const orders = harness.planOrders();
        t.match(orders, [{ kind: OrderKind.Stop, worker, task: late.task.name, number: late.number }]);
        t.equal(orders.length, 1, "nothing starts there, as a start extends the lease");
        harness.scheduler.responses.recordStop(worker, late.task.name, late.number);
        t.equal(worker.mayExtendLease, true);
        harness.clock.advance(10);
        harness.reportListing(worker, [], []);
        t.equal(harness.planStarts()[0]?.worker, worker);
        t.end();
    },
);

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
