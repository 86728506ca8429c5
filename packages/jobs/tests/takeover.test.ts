import { Resources } from "@samphireward/core/resources";
import t from "tap";
import { EndKind } from "../src/end-kind.js";
import type { JobProgress } from "../src/job-progress.js";
import { JobState } from "../src/job-state.js";
import { OrderKind } from "../src/order-kind.js";
import { readProgress } from "../src/read-progress.js";
import { maxLeaseDurationMs } from "../src/max-lease-duration-ms.js";
import { cellLimits } from "./fixtures/cell-limits.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const cancelled: JobProgress = {
    endState: JobState.Cancelled,
    endedAtMs: 0,
    hasStarted: true,
    nextOccurrence: 1,
    open: [],
};

// Guards against a run beyond the allowed attempts: after a takeover, workers are read in any order, and the failure
// of an earlier run may be listed after that of a later one.
t.test("failures that the previous owner could not store count in any order", t => {
    for (const order of [
        [1, 2],
        [2, 1],
    ]) {
        const harness = SchedulerHarness.create(2);
        const spec = harness.makeJob({});
        harness.inherit(spec);
        harness.scheduler.expectInheritedWorkers(["w1/1", "w2/1"]);
        const workers = [harness.addUnreadWorker("w1"), harness.addUnreadWorker("w2")];
        for (const number of order) {
            const worker = workers[number - 1];
            t.ok(worker);
            if (worker !== undefined) {
                const end = {
                    sequence: 1,
                    task: `${spec.id}.0.0.0`,
                    number,
                    kind: EndKind.Failed,
                    checkpoint: "",
                };
                harness.reportListing(worker, [], [end]);
            }
        }
        t.equal(harness.scheduler.jobs.get(spec.id)?.endState, JobState.Failed, `order ${order.join()}`);
        t.same(harness.planStarts(), []);
    }
    t.end();
});

// Guards against a second run of a task that still runs on a worker of the previous owner.
t.test(
    "inherited tasks wait until every worker of the previous owner is read or its lease has expired",
    t => {
        const harness = SchedulerHarness.create(2);
        harness.inherit(harness.makeJob({}));
        harness.scheduler.expectInheritedWorkers(["w1/1", "lost/1"]);
        harness.addWorker("w1");
        t.same(harness.planStarts(), [], "a worker has not been read");
        harness.submit({});
        t.equal(harness.planStarts().length, 1, "a new job starts at once");
        harness.clock.advance(SchedulerHarness.inheritedLeaseDurationMs);
        t.equal(harness.planStarts().length, 1, "the lease of the lost worker has expired");
        t.end();
    },
);

// Guards against lasting tasks that wait for a whole lease after a change of owner, because of a worker that the previous
// owner had not reached for seconds.
t.test("inherited tasks wait for what is left of the lease of a silent worker", t => {
    const harness = SchedulerHarness.create(2);
    const { scheduler } = harness;
    harness.inherit(harness.makeJob({}));
    scheduler.expectInheritedWorkers(["w1/1", "silent/1"], cellLimits.leaseMs, new Map([["silent/1", 800]]));
    harness.addWorker("w1");
    harness.clock.advance(800 + cellLimits.stopMs);
    t.same(harness.planStarts(), [], "its runs may be stopping");
    t.strictSame([...scheduler.leases.silentMs], [["silent/1", 1]], "the next owner waits for it as well");
    harness.clock.advance(1);
    t.equal(harness.planStarts().length, 1);
    t.equal(scheduler.leases.silentMs.size, 0);
    t.end();
});

// Guards against a next owner that waits for workers of which nothing is left, or that does not wait for silent ones.
t.test("a silent worker is reported with its remaining lease until nothing is left of it", t => {
    const harness = SchedulerHarness.create();
    const { scheduler } = harness;
    scheduler.expectNoInheritedWorkers();
    const worker = harness.addWorker("w1");
    harness.submit({});
    harness.planAndStartAll();
    scheduler.noteLeaseExtension(worker);
    t.equal(scheduler.leases.silentMs.size, 0, "it answers");
    scheduler.noteUnreachable(worker);
    harness.clock.advance(4_000);
    const leaseMs = Math.ceil(maxLeaseDurationMs(cellLimits.leaseMs));
    t.strictSame([...scheduler.leases.silentMs], [["w1/1", leaseMs - 4_000]]);
    t.same(scheduler.workerKeysToRead, ["w1/1"]);
    harness.clock.advance(leaseMs - 4_000 + cellLimits.stopMs + 1);
    harness.planOrders();
    t.equal(scheduler.leases.silentMs.size, 0);
    t.same(scheduler.workerKeysToRead, [], "its lease is over");
    harness.reportListing(worker, [], []);
    t.same(scheduler.workerKeysToRead, ["w1/1"], "it answers again");
    t.end();
});

// Guards against lasting tasks that are not started for many seconds during changes of owner in series: each owner began
// to count their wait anew, and waited for compatible images first.
t.test("a lasting task of an inherited job starts on any worker with capacity", t => {
    const harness = SchedulerHarness.create(2);
    const { scheduler } = harness;
    scheduler.effects.restore({ headrooms: {}, pairs: { web: [["mix", 0, 1]], api: [["mix", 30, 1]] } });
    const serving = { lasting: true, tailTargetMs: 50 };
    const inherited = harness.makeJob({ ...serving, image: "api" });
    harness.inherit(inherited);
    scheduler.expectInheritedWorkers(["w1/1"], cellLimits.leaseMs, new Map());
    const worker = harness.addUnreadWorker("w1");
    const running = harness.makeJob({ ...serving, image: "web" });
    harness.inherit(running);
    const run = { number: 1, checkpoint: "", progressPercent: 100, gauge: 0 };
    harness.reportListing(worker, [{ ...run, task: `${running.id}.0.0.0` }], []);
    t.strictSame(
        harness.planStarts().map(({ task }) => task.name),
        [`${inherited.id}.0.0.0`],
    );
    t.end();
});

// Guards against lasting tasks without a run for seconds after a change of owner: they made way for jobs that were accepted
// meanwhile, although none of their own job may start before all workers of the previous owner are read.
t.test("no lasting task makes way while its job cannot start", t => {
    const harness = SchedulerHarness.create(2);
    const { scheduler } = harness;
    const inherited = harness.makeJob({
        lasting: true,
        count: 4,
        resources: Resources.create({ processors: 4, memoryMb: 100 }),
    });
    harness.inherit(inherited);
    scheduler.expectInheritedWorkers(["w1/1", "lost/1"], cellLimits.leaseMs, new Map());
    const worker = harness.addUnreadWorker("w1");
    const run = { number: 1, checkpoint: "", progressPercent: 100, gauge: 0 };
    const listing = [0, 1, 2, 3].map(index => ({ ...run, task: `${inherited.id}.0.0.${index}` }));
    harness.reportListing(worker, listing, []);
    harness.submit({});
    const stopsAfter = (ms: number): number => {
        harness.clock.advance(ms);
        harness.reportListing(worker, listing, []);
        return harness.planOrders().filter(({ kind }) => kind === OrderKind.Stop).length;
    };
    stopsAfter(0);
    t.equal(stopsAfter(4_000), 0, "a worker is not read");
    t.equal(stopsAfter(2_000), 1, "its lease is over");
    t.end();
});

// Guards against running lasting tasks that make way at once for others whose turn has just come: a new owner counted
// the wait of the latter from the change of owner on, although the step before theirs was still running.
t.test("a lasting task of an inherited job does not wait before its step is open", t => {
    const harness = SchedulerHarness.create(2);
    const { scheduler } = harness;
    const inherited = harness.makeJob({}, { lasting: true, after: [0] });
    harness.inherit(inherited);
    scheduler.expectInheritedWorkers(["w1/1"], cellLimits.leaseMs, new Map());
    harness.addWorker("w1");
    const [first] = harness.planAndStartAll();
    harness.clock.advance(60_000);
    const next = scheduler.jobs.get(inherited.id)?.findTask(0, 1, 0);
    t.ok(first && next);
    if (first !== undefined && next !== undefined) {
        t.equal(next.readySinceMs, undefined);
        harness.reportEnd(first, EndKind.Done);
        scheduler.deregisterWorker("w1");
        harness.planOrders();
        t.equal(next.readySinceMs, harness.clock.nowMs(), "its wait begins");
        t.same(scheduler.lastingWaits.take(), []);
    }
    t.end();
});

// Guards against lasting tasks that are unavailable for seconds after two consecutive changes of owner: each change
// restarted the wait for lost workers, with a longer lease than any owner had granted.
t.test("inherited tasks wait no longer than the lease that previous owners granted", t => {
    const harness = SchedulerHarness.create(2);
    harness.inherit(harness.makeJob({}));
    harness.scheduler.expectInheritedWorkers(["w1/1", "lost/1"], 2_000);
    t.equal(harness.scheduler.maxGrantedLeaseMs, 4_500);
    harness.addWorker("w1");
    harness.clock.advance(2_000);
    t.same(harness.planStarts(), [], "the lease has not expired by a slow clock");
    harness.clock.advance(600);
    t.equal(harness.planStarts().length, 1, "the lease of the lost worker has expired");
    t.end();
});

// Guards against inherited tasks that never start, because a damaged roster names a lease that no worker grants.
t.test("inherited tasks wait no longer than any lease may last", t => {
    const tables: [leaseMs: number, leasesMs: ReadonlyMap<string, number>, longestMs: number][] = [
        [1e15, new Map(), maxLeaseDurationMs(cellLimits.maxLeaseMs)],
        [
            cellLimits.leaseMs,
            new Map([["lost/1", 1e15]]),
            cellLimits.lateOrderMs + maxLeaseDurationMs(cellLimits.maxLeaseMs),
        ],
    ];
    for (const [leaseMs, leasesMs, longestMs] of tables) {
        const harness = SchedulerHarness.create(2);
        harness.inherit(harness.makeJob({}));
        harness.scheduler.expectInheritedWorkers(["w1/1", "lost/1"], leaseMs, leasesMs);
        const worker = harness.addWorker("w1");
        harness.clock.advance(longestMs + cellLimits.stopMs);
        t.same(harness.planStarts(), [], "the lease has not expired");
        harness.clock.advance(1);
        t.equal(harness.planStarts().length, 1);
        t.ok(worker.leaseEndsAtMs - harness.clock.nowMs() < longestMs);
        t.ok(harness.scheduler.maxGrantedLeaseMs <= cellLimits.maxLeaseMs);
    }
    t.end();
});

// Guards against waiting for a worker's previous incarnation, which no longer runs anything.
t.test("a new incarnation of a worker ends the wait for its previous one", t => {
    const harness = SchedulerHarness.create(2);
    harness.inherit(harness.makeJob({}));
    harness.scheduler.expectInheritedWorkers(["w1/1"]);
    harness.addWorker("w1", { startedAtMs: 2 });
    t.equal(harness.planStarts().length, 1);
    t.end();
});

// Guards against a lost or duplicate run when the owner changes.
t.test("a run that the worker lists is adopted", t => {
    const harness = SchedulerHarness.create(3);
    const spec = harness.makeJob({ count: 2 });
    harness.inherit(spec);
    harness.scheduler.expectInheritedWorkers(["w1/1"]);
    const worker = harness.addUnreadWorker("w1");
    const row = { task: `${spec.id}.0.0.1`, number: 7, checkpoint: "", progressPercent: 1, gauge: 0 };
    harness.reportListing(worker, [row], []);
    const runs = harness.planAndStartAll();
    t.same(
        runs.map(run => [run.task.name, run.number]),
        [[`${spec.id}.0.0.0`, 2_001]],
        "run numbers of the third epoch are above those of all earlier epochs",
    );
    t.equal(worker.runs.size, 2);
    t.end();
});

// Guards against a new owner that reads stored progress differently from what the previous owner wrote.
t.test("progress survives a change of owner", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w1");
    const spec = harness.submit({ count: 3 }, { after: [0] });
    const [first, second, third] = harness.planAndStartAll();
    t.ok(first && second && third);
    if (first === undefined || second === undefined || third === undefined) {
        t.end();
        return;
    }
    harness.reportEnd(first, EndKind.Done);
    harness.reportEnd(second, EndKind.Failed);
    const job = harness.scheduler.jobs.get(spec.id);
    t.ok(job);
    const next = SchedulerHarness.create(2);
    next.addWorker("w1");
    next.inherit(spec, job === undefined ? undefined : readProgress(job));
    const restored = [...(next.scheduler.jobs.get(spec.id)?.tasks() ?? [])];
    t.same(
        restored.map(task => [task.isDone, task.failedRuns.size]),
        [
            [true, 0],
            [false, 1],
            [false, 0],
            [false, 0],
        ],
    );
    t.end();
});

// Guards against starts on a worker that still runs tasks of an ended job: all processes lost power between the end of
// the job and the stops of its tasks.
t.test("runs of an ended job reserve capacity until the worker no longer lists them", t => {
    const harness = SchedulerHarness.create(2);
    const half = Resources.create({ processors: 10, memoryMb: 100 });
    const spec = harness.makeJob({ lasting: true, resources: half });
    harness.inherit(spec, cancelled);
    const worker = harness.addUnreadWorker("w1");
    const row = { task: `${spec.id}.0.0.0`, number: 1, checkpoint: "", progressPercent: 100, gauge: 0 };
    harness.reportListing(worker, [row], []);
    harness.submit({ resources: half });
    const orders = harness.planOrders();
    t.same(
        orders.map(({ kind }) => kind),
        [OrderKind.Stop],
        "the run is stopped, nothing starts beside it",
    );
    harness.clock.advance(100);
    t.same(harness.planOrders(), [], "nor after the stop was sent");
    harness.reportListing(worker, [], []);
    t.equal(harness.planStarts().length, 1);
    t.end();
});

// Guards against starts beside a run of an unknown job, whose resources are unknown as well.
t.test("nothing starts beside a run of unknown size", t => {
    const harness = SchedulerHarness.create(2);
    const worker = harness.addUnreadWorker("w1");
    const row = { task: `${"f".repeat(16)}.0.0.0`, number: 1, checkpoint: "", progressPercent: 1, gauge: 0 };
    harness.reportListing(worker, [row], []);
    harness.submit({});
    t.same(harness.planStarts(), []);
    harness.reportListing(worker, [], []);
    t.equal(harness.planStarts().length, 1);
    t.end();
});

// Guards against a second run of a task beside one that the previous owner started in the next incarnation of a worker, of
// which it had not learned: the next owner took the end of the earlier incarnation for the end of all runs there.
t.test("a run in an incarnation that the previous owner did not know is adopted, not started again", t => {
    for (const isKnownBefore of [false, true]) {
        const harness = SchedulerHarness.create(2);
        const spec = harness.makeJob({});
        harness.inherit(spec);
        harness.scheduler.expectInheritedWorkers(["w1/1"], cellLimits.leaseMs, new Map());
        harness.addWorker("w2");
        if (isKnownBefore) {
            harness.addUnreadWorker("w1");
        }
        const worker = harness.addUnreadWorker("w1", { startedAtMs: 2 });
        t.same(harness.planStarts(), [], "it has not been read");
        t.same(harness.scheduler.workerKeysToRead, ["w2/1", "w1/2"], "the next owner has to read it as well");
        const run = { number: 1, checkpoint: "", progressPercent: 1, gauge: 0 };
        harness.reportListing(worker, [{ ...run, task: `${spec.id}.0.0.0` }], []);
        t.same(harness.planStarts(), []);
        t.equal(worker.runs.size, 1);
    }
    t.end();
});

// Guards against a second run of a task beside one in an incarnation of its worker that the previous owner did not know, which is
// silent: the lease there may be the longest one. The wait is bounded, so that lasting tasks are not kept from running.
t.test("silent workers are waited for longer after a restart of the owner's process", t => {
    const cases: readonly [extraWaitMs: number, waitMs: number][] = [
        [0, maxLeaseDurationMs(cellLimits.leaseMs)],
        [700, maxLeaseDurationMs(cellLimits.leaseMs) + 700],
        [60_000, maxLeaseDurationMs(cellLimits.maxLeaseMs)],
    ];
    for (const [extraWaitMs, waitMs] of cases) {
        const harness = SchedulerHarness.create(2);
        harness.inherit(harness.makeJob({}));
        const { scheduler } = harness;
        scheduler.expectInheritedWorkers(["w1/1"], cellLimits.leaseMs, new Map(), extraWaitMs);
        harness.addWorker("w2");
        harness.clock.advance(waitMs + cellLimits.stopMs);
        t.same(harness.planStarts(), [], `${extraWaitMs} ms`);
        harness.clock.advance(1);
        t.equal(harness.planStarts().length, 1);
    }
    t.end();
});

// Guards against inherited tasks that never start, because a worker that has started again does not answer.
t.test("the wait for a worker that has started again ends with the longest lease", t => {
    const harness = SchedulerHarness.create(2);
    harness.inherit(harness.makeJob({}));
    harness.scheduler.expectInheritedWorkers(["w1/1"], cellLimits.leaseMs, new Map());
    harness.addWorker("w2");
    harness.addUnreadWorker("w1", { startedAtMs: 2 });
    harness.clock.advance(maxLeaseDurationMs(cellLimits.maxLeaseMs) + cellLimits.stopMs);
    t.same(harness.planStarts(), []);
    harness.clock.advance(1);
    t.equal(harness.planStarts().length, 1);
    t.end();
});

// Guards against a second run of a task that still runs in a worker's newest incarnation: a registration that was read
// before the restart ended the wait for that incarnation.
t.test("a registration of an older incarnation does not end the wait for a newer one", t => {
    const harness = SchedulerHarness.create(2);
    harness.inherit(harness.makeJob({}));
    harness.scheduler.expectInheritedWorkers(["w1/200"]);
    harness.addWorker("w2");
    harness.addUnreadWorker("w1", { startedAtMs: 100 });
    t.same(harness.planStarts(), []);
    const worker = harness.addUnreadWorker("w1", { startedAtMs: 300 });
    t.same(harness.planStarts(), [], "a newer one may have runs that the previous owner started there");
    harness.reportListing(worker, [], []);
    t.equal(harness.planStarts().length, 1, "its listing ends the wait");
    t.end();
});
