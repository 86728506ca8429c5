import t from "tap";
import { EndKind } from "../src/end-kind.js";
import { JobState } from "../src/job-state.js";
import type { ListedEnd } from "../src/listed-end.js";
import type { ListedRun } from "../src/listed-run.js";
import { OrderKind } from "../src/order-kind.js";
import { StartOutcome } from "../src/start-outcome.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const doneEnd = (task: string, number = 1, sequence = 1): ListedEnd => ({
    sequence,
    task,
    number,
    kind: EndKind.Done,
    checkpoint: "",
});

const row = (task: string, number = 1): ListedRun => ({
    task,
    number,
    checkpoint: "",
    progressPercent: 50,
    gauge: 0,
});

// Guards against a start after an acknowledged end: an end that is listed after one with a higher number was skipped,
// but counted as read.
t.test("ends that are listed out of order are all applied", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    const spec = harness.submit({ count: 3 });
    t.equal(harness.planAndStartAll().length, 3);
    const ends = [2, 0, 1].map(index => doneEnd(`${spec.id}.0.0.${index}`, 1, index + 1));
    harness.reportListing(worker, [], ends);
    t.equal(harness.scheduler.jobs.get(spec.id)?.endState, JobState.Completed);
    t.end();
});

// Guards against a start after an acknowledged end: a later run of the task was planned but refused, so that the end of
// the earlier run counted as outdated.
t.test("a task without a run is done when the end of an earlier run is listed", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    const spec = harness.submit({});
    t.equal(harness.planAndStartAll().length, 1);
    harness.addWorker("w2");
    harness.scheduler.noteUnreachable(worker);
    harness.clock.advance(SchedulerHarness.inheritedLeaseDurationMs);
    const [second] = harness.planStarts();
    t.equal(second?.number, 2);
    if (second !== undefined) {
        harness.scheduler.responses.recordStart(second, StartOutcome.Refused);
    }
    harness.reportListing(worker, [], [doneEnd(`${spec.id}.0.0.0`)]);
    t.equal(harness.scheduler.jobs.get(spec.id)?.endState, JobState.Completed);
    t.end();
});

// Guards against a start after an acknowledged end: the run was not the task's current one when it was adopted, and the
// current one ended otherwise.
t.test("a task without a run is done when an adopted run that was not current ends", t => {
    const harness = SchedulerHarness.create(2);
    const spec = harness.makeJob({});
    const name = `${spec.id}.0.0.0`;
    harness.inherit(spec);
    harness.scheduler.expectInheritedWorkers(["w1/1", "w2/1"]);
    const [first, second] = [harness.addUnreadWorker("w1"), harness.addUnreadWorker("w2")];
    harness.reportListing(second, [row(name, 2)], []);
    harness.reportListing(first, [row(name, 1)], []);
    harness.reportListing(second, [], [{ ...doneEnd(name, 2), kind: EndKind.Lapsed }]);
    harness.reportListing(first, [], [doneEnd(name, 1)]);
    t.equal(harness.scheduler.jobs.get(spec.id)?.endState, JobState.Completed);
    t.end();
});

// Guards against a start after an acknowledged end: the task had a later run when the end was listed, and that run did
// not end as done.
t.test("a task is done by the end of an earlier run although a later run exists", t => {
    for (const isListed of [false, true]) {
        const harness = SchedulerHarness.create();
        const silent = harness.addWorker("silent");
        const spec = harness.submit({ count: 2 });
        t.equal(harness.planAndStartAll().length, 2);
        const name = `${spec.id}.0.0.0`;
        harness.scheduler.noteUnreachable(silent);
        harness.clock.advance(SchedulerHarness.inheritedLeaseDurationMs);
        harness.addWorker("w2");
        const second = harness.planAndStartAll().find(({ task }) => task.name === name);
        if (isListed) {
            harness.reportListing(silent, [row(name)], []);
        }
        harness.reportListing(silent, [], [doneEnd(name)]);
        t.ok(
            harness.planOrders().some(order => order.kind === OrderKind.Stop && order.task === name),
            "the later run is stopped",
        );
        if (second !== undefined) {
            harness.reportEnd(second, EndKind.Failed);
        }
        harness.clock.advance(1_000);
        t.notOk(
            harness.planStarts().some(({ task }) => task.name === name),
            "the task does not start again",
        );
    }
    t.end();
});

// Guards against a gang that starts again after the end of one of its members, which stands for all of them, was
// acknowledged.
t.test("the end of one member completes a gang, whichever members have lost their worker", t => {
    const harness = SchedulerHarness.create();
    const workers = ["w1", "w2", "w3"].map(id => harness.addWorker(id));
    const spec = harness.submit({ count: 3, gang: true, maxPerWorker: 1 });
    const runs = harness.planAndStartAll();
    t.equal(runs.length, 3);
    runs.filter(({ worker }) => worker !== workers[0]).forEach(({ worker }) =>
        harness.scheduler.noteUnreachable(worker),
    );
    harness.clock.advance(SchedulerHarness.inheritedLeaseDurationMs);
    t.same(harness.planStarts(), [], "a member is left");
    const left = runs.find(({ worker }) => worker === workers[0]);
    if (left !== undefined) {
        harness.reportEnd(left, EndKind.Done);
    }
    t.equal(harness.scheduler.jobs.get(spec.id)?.endState, JobState.Completed);
    t.end();
});

// Guards against a second run of an occurrence that is done: its end is listed again until it is acknowledged.
t.test("the end of a closed occurrence starts nothing when it is listed again", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    const firstAtMs = harness.clock.wallMs();
    const spec = {
        ...harness.makeJob({}),
        schedule: { occurrences: 2, firstAtMs, intervalMs: 10_000 },
    };
    harness.scheduler.addJob(spec);
    t.equal(harness.planAndStartAll().length, 1);
    const end = doneEnd(`${spec.id}.0.0.0`);
    harness.reportListing(worker, [], [end]);
    harness.reportListing(worker, [], [end]);
    t.same(harness.planStarts(), []);
    harness.clock.advance(10_000);
    t.same(
        harness.planStarts().map(({ task }) => task.name),
        [`${spec.id}.1.0.0`],
    );
    t.end();
});

const scheduledLater = (harness: SchedulerHarness): ReturnType<SchedulerHarness["makeJob"]> => ({
    ...harness.makeJob({ count: 2 }),
    schedule: { occurrences: 3, firstAtMs: harness.clock.wallMs() + 5_000, intervalMs: 10_000 },
});

// Guards against a start after an acknowledged end: the previous owner's wall clock was ahead, so that the occurrence
// was not open at the new owner when the end was listed.
t.test("the end of an occurrence that is not due yet is applied", t => {
    const harness = SchedulerHarness.create(2);
    const spec = scheduledLater(harness);
    harness.inherit(spec);
    harness.scheduler.expectInheritedWorkers(["w1/1"]);
    const worker = harness.addUnreadWorker("w1");
    harness.reportListing(worker, [], [doneEnd(`${spec.id}.0.0.0`)]);
    t.same(harness.planStarts(), [], "the other task is not due");
    harness.clock.advance(5_000);
    t.same(
        harness.planStarts().map(({ task }) => task.name),
        [`${spec.id}.0.0.1`],
    );
    t.end();
});

// Guards against the stop of a run whose occurrence a previous owner with a clock that was ahead had opened.
t.test("a run of an occurrence that is not due yet is adopted", t => {
    const harness = SchedulerHarness.create(2);
    const spec = scheduledLater(harness);
    harness.inherit(spec);
    harness.scheduler.expectInheritedWorkers(["w1/1"]);
    const worker = harness.addUnreadWorker("w1");
    harness.reportListing(worker, [row(`${spec.id}.0.0.0`)], []);
    t.same(harness.planOrders(), []);
    t.equal(worker.runs.size, 1);
    t.equal(worker.orphanRuns.size, 0);
    t.end();
});
