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

// Guards against a run beyond the allowed attempts: an owner that took over reads the workers in any order, and
// the failure of an earlier run may be listed after that of a later one.
t.test("failures that the earlier owner could not store count in any order", t => {
    for (const order of [
        [1, 2],
        [2, 1],
    ]) {
        const rig = SchedulerHarness.create(2);
        const spec = rig.makeJob({});
        rig.inherit(spec);
        rig.scheduler.expectInheritedWorkers(["w1/1", "w2/1"]);
        const lives = [rig.addUnreadWorker("w1"), rig.addUnreadWorker("w2")];
        for (const number of order) {
            const life = lives[number - 1];
            t.ok(life);
            if (life !== undefined) {
                const end = {
                    sequence: 1,
                    task: `${spec.id}.0.0.0`,
                    number,
                    kind: EndKind.Failed,
                    checkpoint: "",
                };
                rig.reportListing(life, [], [end]);
            }
        }
        t.equal(rig.scheduler.jobs.get(spec.id)?.endState, JobState.Failed, `order ${order.join()}`);
        t.same(rig.planStarts(), []);
    }
    t.end();
});

// Guards against a second run of a task that still runs on a worker of the earlier owner.
t.test("inherited tasks wait until every worker of the earlier owner is read, or its lease is over", t => {
    const rig = SchedulerHarness.create(2);
    rig.inherit(rig.makeJob({}));
    rig.scheduler.expectInheritedWorkers(["w1/1", "lost/1"]);
    rig.addWorker("w1");
    t.same(rig.planStarts(), [], "a worker has not been read");
    rig.submit({});
    t.equal(rig.planStarts().length, 1, "a new job starts at once");
    rig.clock.advance(SchedulerHarness.inheritedLeaseDurationMs);
    t.equal(rig.planStarts().length, 1, "the lease of the lost worker is over");
    t.end();
});

// Guards against tasks that are to last standing still for seconds after two changes of owner in a row: the wait
// for workers that are gone began anew with each, for a longer lease than any owner had granted.
t.test("inherited tasks wait no longer than for the lease that earlier owners granted", t => {
    const rig = SchedulerHarness.create(2);
    rig.inherit(rig.makeJob({}));
    rig.scheduler.expectInheritedWorkers(["w1/1", "lost/1"], 2_000);
    t.equal(rig.scheduler.maxGrantedLeaseMs, 4_500);
    rig.addWorker("w1");
    rig.clock.advance(2_000);
    t.same(rig.planStarts(), [], "a slow clock's lease is not over");
    rig.clock.advance(600);
    t.equal(rig.planStarts().length, 1, "the lease of the lost worker is over");
    t.end();
});

// Guards against waiting for a worker's earlier life, which runs nothing any more.
t.test("a new life of a worker ends the wait for its earlier one", t => {
    const rig = SchedulerHarness.create(2);
    rig.inherit(rig.makeJob({}));
    rig.scheduler.expectInheritedWorkers(["w1/1"]);
    rig.addWorker("w1", { startedAtMs: 2 });
    t.equal(rig.planStarts().length, 1);
    t.end();
});

// Guards against the loss of a run, or a second one, when the owner changes.
t.test("a run that the worker lists is taken over", t => {
    const rig = SchedulerHarness.create(3);
    const spec = rig.makeJob({ count: 2 });
    rig.inherit(spec);
    rig.scheduler.expectInheritedWorkers(["w1/1"]);
    const life = rig.addUnreadWorker("w1");
    const row = { task: `${spec.id}.0.0.1`, number: 7, checkpoint: "", progressPercent: 1, gauge: 0 };
    rig.reportListing(life, [row], []);
    const runs = rig.planAndStartAll();
    t.same(
        runs.map(run => [run.task.name, run.number]),
        [[`${spec.id}.0.0.0`, 2_001]],
        "run numbers of the third epoch begin above all earlier ones",
    );
    t.equal(life.runs.size, 2);
    t.end();
});

// Guards against durable progress that a new owner reads differently from what the old one wrote.
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

// Guards against starts on a worker that still runs what an ended job left there: all processes lost power between
// the job's end and the stops of its tasks.
t.test("runs of a job that had ended hold room until the worker lists them no more", t => {
    const rig = SchedulerHarness.create(2);
    const half = Resources.create({ processors: 10, memoryMb: 100 });
    const spec = rig.makeJob({ lasting: true, resources: half });
    rig.inherit(spec, cancelled);
    const life = rig.addUnreadWorker("w1");
    const row = { task: `${spec.id}.0.0.0`, number: 1, checkpoint: "", progressPercent: 100, gauge: 0 };
    rig.reportListing(life, [row], []);
    rig.submit({ resources: half });
    const orders = rig.planOrders();
    t.same(
        orders.map(({ kind }) => kind),
        [OrderKind.Stop],
        "the run is stopped, nothing starts beside it",
    );
    rig.clock.advance(100);
    t.same(rig.planOrders(), [], "nor after the stop was sent");
    rig.reportListing(life, [], []);
    t.equal(rig.planStarts().length, 1);
    t.end();
});

// Guards against starts beside a run of a job that is not known any more: its size is not known either.
t.test("nothing starts beside a run of unknown size", t => {
    const rig = SchedulerHarness.create(2);
    const life = rig.addUnreadWorker("w1");
    const row = { task: `${"f".repeat(16)}.0.0.0`, number: 1, checkpoint: "", progressPercent: 1, gauge: 0 };
    rig.reportListing(life, [row], []);
    rig.submit({});
    t.same(rig.planStarts(), []);
    rig.reportListing(life, [], []);
    t.equal(rig.planStarts().length, 1);
    t.end();
});
