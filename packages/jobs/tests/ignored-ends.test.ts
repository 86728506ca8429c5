import t from "tap";
import { EndKind } from "../src/end-kind.js";
import { IgnoreReason } from "../src/ignore-reason.js";
import type { JobProgress } from "../src/job-progress.js";
import type { ListedEnd } from "../src/listed-end.js";
import type { StepSpec } from "../src/step-spec.js";
import type { WorkerIncarnation } from "../src/worker-incarnation.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const endOf = (task: string, number: number, kind: EndKind, sequence = 1): ListedEnd => ({
    sequence,
    task,
    number,
    kind,
    checkpoint: "",
});

/** A task whose first run was on `silent`, whose lease has expired, and whose second run is on another worker. */
const startedAgain = (
    step: Partial<StepSpec> = {},
): { harness: SchedulerHarness; silent: WorkerIncarnation; task: string } => {
    const harness = SchedulerHarness.create();
    const silent = harness.addWorker("silent");
    const spec = harness.submit(step);
    harness.planAndStartAll();
    harness.scheduler.noteUnreachable(silent);
    harness.clock.advance(SchedulerHarness.inheritedLeaseDurationMs);
    harness.addWorker("w2");
    harness.planAndStartAll();
    return { harness, silent, task: `${spec.id}.0.0.0` };
};

// Guards against work that ran twice without a trace: the worker did the work, but the task has a later run.
t.test("an end that is listed after its task has started again is reported with the current run", t => {
    const { harness, silent, task } = startedAgain();
    const end = endOf(task, 1, EndKind.Done);
    harness.reportListing(silent, [], [end]);
    const ignored = { ...end, worker: "silent", reason: IgnoreReason.NotCurrent, currentRun: 2 };
    t.strictSame(harness.ignoredEnds, [ignored]);
    harness.reportListing(silent, [], [end]);
    t.equal(harness.ignoredEnds.length, 1, "an end that the worker repeats is reported once");
    t.end();
});

// Guards against missing the second of two runs that were both done: the job may have ended by then.
t.test("an end that is listed after its task was done by another run is reported", t => {
    for (const count of [1, 2]) {
        const { harness, silent, task } = startedAgain({ count });
        const second = [...harness.scheduler.fleet.workers]
            .flatMap(worker => [...worker.runs.values()])
            .find(run => run.task.name === task);
        t.ok(second);
        if (second !== undefined) {
            harness.reportEnd(second, EndKind.Done);
        }
        harness.reportListing(silent, [], [endOf(task, 1, EndKind.Done)]);
        t.match(harness.ignoredEnds, [{ task, number: 1, reason: IgnoreReason.TaskDone }], `${count} tasks`);
    }
    t.end();
});

// Guards against missing the end of a run that the silent worker still listed as running when it came back.
t.test("the end of a run that was adopted beside the current one is reported", t => {
    const { harness, silent, task } = startedAgain();
    const row = { task, number: 1, checkpoint: "", progressPercent: 50, gauge: 0 };
    harness.reportListing(silent, [row], []);
    t.strictSame(harness.ignoredEnds, []);
    harness.reportListing(silent, [], [endOf(task, 1, EndKind.Done)]);
    t.match(harness.ignoredEnds, [{ task, number: 1, reason: IgnoreReason.NotCurrent, currentRun: 2 }]);
    t.end();
});

// Guards against a worker that comes back after a change of owner: only the task's stored state is known by then.
t.test("an end of a task that a previous owner stored as done, or of an unknown job, is reported", t => {
    const harness = SchedulerHarness.create(2);
    const spec = harness.makeJob({ count: 2 });
    const progress: JobProgress = {
        endState: undefined,
        endedAtMs: 0,
        hasStarted: true,
        nextOccurrence: 1,
        open: [{ number: 0, steps: [{ doneBits: "10", marks: [] }] }],
    };
    harness.inherit(spec, progress);
    const worker = harness.addUnreadWorker("w1");
    const done = endOf(`${spec.id}.0.0.0`, 1, EndKind.Done);
    const unknown = endOf("00000000000000ff.0.0.0", 1, EndKind.Failed, 2);
    harness.reportListing(worker, [], [done, unknown]);
    t.strictSame(harness.ignoredEnds, [
        { ...done, worker: "w1", reason: IgnoreReason.TaskDone, currentRun: undefined },
        { ...unknown, worker: "w1", reason: IgnoreReason.JobUnknown, currentRun: undefined },
    ]);
    t.end();
});

// Guards against lines for ends that have taken effect or that every cancellation causes.
t.test("ends that are applied, and ends of the current runs of cancelled jobs, are not reported", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w1");
    harness.submit({ count: 2, gang: true });
    harness.planAndStartAll().forEach(run => harness.reportEnd(run, EndKind.Done));
    const cancelled = harness.submit({});
    const runs = harness.planAndStartAll();
    t.equal(runs.length, 1);
    harness.scheduler.cancelJob(cancelled.id);
    runs.forEach(run => harness.reportEnd(run, EndKind.Stopped));
    harness.submit({});
    const silent = harness.planAndStartAll()[0];
    t.ok(silent);
    if (silent !== undefined) {
        harness.scheduler.noteUnreachable(silent.worker);
        harness.clock.advance(SchedulerHarness.inheritedLeaseDurationMs);
        harness.planOrders();
        harness.reportEnd(silent, EndKind.Done);
        t.equal(harness.appliedEnds.at(-1)?.kind, EndKind.Done, "no later run: the late end is applied");
    }
    t.strictSame(harness.ignoredEnds, []);
    t.end();
});
