import t from "tap";
import { EndKind } from "../src/end-kind.js";
import { JobState } from "../src/job-state.js";
import type { ListedEnd } from "../src/listed-end.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const doneEnd = (task: string, number = 1, sequence = 1): ListedEnd => ({
    sequence,
    task,
    number,
    kind: EndKind.Done,
    checkpoint: "",
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
