import { Resources } from "@samphireward/core/resources";
import t from "tap";
import { EndKind } from "../src/end-kind.js";
import type { JobProgress } from "../src/job-progress.js";
import { JobState } from "../src/job-state.js";
import { OrderKind } from "../src/order-kind.js";
import { readProgress } from "../src/read-progress.js";
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
        const rig = SchedulerHarness.create(2);
        const spec = rig.makeJob({});
        rig.inherit(spec);
        rig.scheduler.expectInheritedWorkers(["w1/1", "w2/1"]);
        const workers = [rig.addUnreadWorker("w1"), rig.addUnreadWorker("w2")];
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
                rig.reportListing(worker, [], [end]);
            }
        }
        t.equal(rig.scheduler.jobs.get(spec.id)?.endState, JobState.Failed, `order ${order.join()}`);
        t.same(rig.planStarts(), []);
    }
    t.end();
});

// Guards against a second run of a task that still runs on a worker of the previous owner.
t.test(
    "inherited tasks wait until every worker of the previous owner is read or its lease has expired",
    t => {
        const rig = SchedulerHarness.create(2);
        rig.inherit(rig.makeJob({}));
        rig.scheduler.expectInheritedWorkers(["w1/1", "lost/1"]);
        rig.addWorker("w1");
        t.same(rig.planStarts(), [], "a worker has not been read");
        rig.submit({});
        t.equal(rig.planStarts().length, 1, "a new job starts at once");
        rig.clock.advance(SchedulerHarness.inheritedLeaseDurationMs);
        t.equal(rig.planStarts().length, 1, "the lease of the lost worker has expired");
        t.end();
    },
);

// Guards against lasting tasks that are unavailable for seconds after two consecutive changes of owner: each change
// restarted the wait for lost workers, with a longer lease than any owner had granted.
t.test("inherited tasks wait no longer than the lease that previous owners granted", t => {
    const rig = SchedulerHarness.create(2);
    rig.inherit(rig.makeJob({}));
    rig.scheduler.expectInheritedWorkers(["w1/1", "lost/1"], 2_000);
    t.equal(rig.scheduler.maxGrantedLeaseMs, 4_500);
    rig.addWorker("w1");
    rig.clock.advance(2_000);
    t.same(rig.planStarts(), [], "the lease has not expired by a slow clock");
    rig.clock.advance(600);
    t.equal(rig.planStarts().length, 1, "the lease of the lost worker has expired");
    t.end();
});

// Guards against waiting for a worker's previous incarnation, which no longer runs anything.
t.test("a new incarnation of a worker ends the wait for its previous one", t => {
    const rig = SchedulerHarness.create(2);
    rig.inherit(rig.makeJob({}));
    rig.scheduler.expectInheritedWorkers(["w1/1"]);
    rig.addWorker("w1", { startedAtMs: 2 });
    t.equal(rig.planStarts().length, 1);
    t.end();
});

// Guards against a lost or duplicate run when the owner changes.
t.test("a run that the worker lists is adopted", t => {
    const rig = SchedulerHarness.create(3);
    const spec = rig.makeJob({ count: 2 });
    rig.inherit(spec);
    rig.scheduler.expectInheritedWorkers(["w1/1"]);
    const worker = rig.addUnreadWorker("w1");
    const row = { task: `${spec.id}.0.0.1`, number: 7, checkpoint: "", progressPercent: 1, gauge: 0 };
    rig.reportListing(worker, [row], []);
    const runs = rig.planAndStartAll();
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
    const rig = SchedulerHarness.create();
    rig.addWorker("w1");
    const spec = rig.submit({ count: 3 }, { after: [0] });
    const [first, second, third] = rig.planAndStartAll();
    t.ok(first && second && third);
    if (first === undefined || second === undefined || third === undefined) {
        t.end();
        return;
    }
    rig.reportEnd(first, EndKind.Done);
    rig.reportEnd(second, EndKind.Failed);
    const job = rig.scheduler.jobs.get(spec.id);
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
    const rig = SchedulerHarness.create(2);
    const half = Resources.create({ processors: 10, memoryMb: 100 });
    const spec = rig.makeJob({ lasting: true, resources: half });
    rig.inherit(spec, cancelled);
    const worker = rig.addUnreadWorker("w1");
    const row = { task: `${spec.id}.0.0.0`, number: 1, checkpoint: "", progressPercent: 100, gauge: 0 };
    rig.reportListing(worker, [row], []);
    rig.submit({ resources: half });
    const orders = rig.planOrders();
    t.same(
        orders.map(({ kind }) => kind),
        [OrderKind.Stop],
        "the run is stopped, nothing starts beside it",
    );
    rig.clock.advance(100);
    t.same(rig.planOrders(), [], "nor after the stop was sent");
    rig.reportListing(worker, [], []);
    t.equal(rig.planStarts().length, 1);
    t.end();
});

// Guards against starts beside a run of an unknown job, whose resources are unknown as well.
t.test("nothing starts beside a run of unknown size", t => {
    const rig = SchedulerHarness.create(2);
    const worker = rig.addUnreadWorker("w1");
    const row = { task: `${"f".repeat(16)}.0.0.0`, number: 1, checkpoint: "", progressPercent: 1, gauge: 0 };
    rig.reportListing(worker, [row], []);
    rig.submit({});
    t.same(rig.planStarts(), []);
    rig.reportListing(worker, [], []);
    t.equal(rig.planStarts().length, 1);
    t.end();
});
