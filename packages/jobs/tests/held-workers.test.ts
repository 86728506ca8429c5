import { Resources } from "@samphireward/core/resources";
import t from "tap";
import { EndKind } from "../src/end-kind.js";
import type { Run } from "../src/run.js";
import { StartOutcome } from "../src/start-outcome.js";
import type { StepSpec } from "../src/step-spec.js";
import type { WorkerIncarnation } from "../src/worker-incarnation.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const WorkerProcessors = 16;
/** Time after which a lasting task takes the place of another one or, if there is none, has a worker held for it. */
const StarvedMs = 3_500;
const TickMs = 50;

const processors = (count: number): Resources =>
    Resources.create({ processors: count, memoryMb: 100 * count });

const lasting = (requested: number, count = 1): Partial<StepSpec> => ({
    lasting: true,
    count,
    resources: processors(requested),
});

/** Workers that are each filled with short tasks of the same size. */
const fillWithShort = (
    harness: SchedulerHarness,
    workerCount: number,
    requested: number,
    estimatedMs = 3_000,
): { readonly workers: readonly WorkerIncarnation[]; readonly runs: readonly Run[] } => {
    const workers = Array.from({ length: workerCount }, (_, index) => harness.addWorker(`w${index}`));
    const count = workerCount * Math.floor(WorkerProcessors / requested);
    harness.submit({ count, estimatedMs, resources: processors(requested) });
    return { workers, runs: harness.planAndStartAll() };
};

const runsOn = (runs: readonly Run[], worker: WorkerIncarnation | undefined): Run[] =>
    runs.filter(run => run.worker === worker);

const heldWorkers = (workers: readonly WorkerIncarnation[]): WorkerIncarnation[] =>
    workers.filter(worker => worker.heldFor !== undefined);

/** A worker on which a short task leaves some processors free. */
const addBusyWorker = (harness: SchedulerHarness, requested: number, estimatedMs: number): void => {
    harness.addWorker("w1");
    harness.submit({ estimatedMs, resources: processors(requested) });
    harness.planAndStartAll();
};

// Guards against a lasting task without a run beside enough free capacity: the worker was held again and again for a larger
// task, although a short task with a minute left had to end first.
t.test("a worker is not held for longer than its short tasks take to free it", t => {
    const harness = SchedulerHarness.create();
    addBusyWorker(harness, 10, 60_000);
    harness.submit(lasting(10));
    harness.planStarts();
    harness.clock.advance(StarvedMs);
    harness.planStarts();
    harness.submit(lasting(4));
    let waitedMs = 0;
    while (harness.planAndStartAll().length === 0 && waitedMs < 30_000) {
        harness.clock.advance(TickMs);
        waitedMs += TickMs;
    }
    t.ok(waitedMs < 6_000, `the smaller task has waited ${waitedMs} ms`);
    t.end();
});

// Guards against a quarter of the fleet that idles while short tasks wait: workers were held for each lasting task that had
// waited for 2 s, until short tasks had ended there, although other lasting tasks could make way.
t.test("no worker is held for the ends of short tasks while a lasting task can make way", t => {
    const harness = SchedulerHarness.create();
    const full = harness.addWorker("full");
    harness.submit(lasting(12));
    const [run] = harness.planAndStartAll();
    const { workers } = fillWithShort(harness, 8, 8, 20_000);
    harness.clock.advance(16_000);
    if (run !== undefined) {
        harness.reportListing(full, [{ ...SchedulerHarness.listedRun(run), progressPercent: 100 }], []);
    }
    harness.submit(lasting(12));
    harness.planStarts();
    harness.clock.advance(2_500);
    harness.planStarts();
    t.same(heldWorkers([...workers, full]), [], "it is overdue");
    harness.clock.advance(1_000);
    harness.planStarts();
    t.same(heldWorkers([...workers, full]), [full], "another one makes way");
    t.end();
});

// Guards against a lasting task that waits for a worker which takes no more tasks, while others free capacity.
t.test("a worker that starts to drain is no longer held", t => {
    const harness = SchedulerHarness.create();
    const { workers } = fillWithShort(harness, 2, 8);
    harness.submit(lasting(10));
    harness.planStarts();
    harness.clock.advance(StarvedMs);
    harness.planStarts();
    const [held] = heldWorkers(workers);
    if (held !== undefined) {
        harness.scheduler.registerWorker({ ...held.entry, isDraining: true });
    }
    harness.clock.advance(TickMs);
    harness.planStarts();
    t.same(
        heldWorkers(workers).map(worker => worker.entry.id),
        workers.filter(worker => worker !== held).map(worker => worker.entry.id),
    );
    t.end();
});

// Guards against capacity that stays unused because it is held for tasks that have found another worker meanwhile.
t.test("no more workers are held than there are waiting tasks", t => {
    const harness = SchedulerHarness.create();
    const { workers, runs } = fillWithShort(harness, 16, 16);
    harness.submit(lasting(12, 3));
    harness.planStarts();
    harness.clock.advance(StarvedMs);
    harness.planStarts();
    t.equal(heldWorkers(workers).length, 3, "one for each");
    const others = workers.filter(worker => worker.heldFor === undefined).slice(0, 2);
    others.forEach(worker => runsOn(runs, worker).forEach(run => harness.reportEnd(run, EndKind.Done)));
    harness.clock.advance(TickMs);
    t.equal(harness.planAndStartAll().length, 2, "two tasks start elsewhere");
    t.equal(heldWorkers(workers).length, 1);
    t.end();
});

// Guards against a wait that begins again with each refused start, so that a lasting task is never overdue.
t.test("a lasting task whose start was refused has waited since before that start", t => {
    const harness = SchedulerHarness.create();
    const { workers, runs } = fillWithShort(harness, 2, 8);
    const [first, second] = workers;
    harness.submit(lasting(10));
    harness.planStarts();
    harness.clock.advance(1_500);
    runsOn(runs, first).forEach(run => harness.reportEnd(run, EndKind.Done));
    const [refused] = harness.planStarts();
    t.equal(refused?.worker, first);
    if (refused !== undefined) {
        harness.scheduler.responses.recordStart(refused, StartOutcome.Refused);
        harness.scheduler.registerWorker({ ...refused.worker.entry, isDraining: true });
    }
    harness.clock.advance(StarvedMs - 1_500);
    harness.planStarts();
    t.ok(second?.heldFor, "it is starved, so that a worker is held");
    t.end();
});

// Guards against a wait that begins again after each start without an answer, which busy workers cause by the dozen.
t.test("a lasting task whose start was not answered has waited since before that start", t => {
    const harness = SchedulerHarness.create();
    const { workers, runs } = fillWithShort(harness, 2, 8);
    const [first, second] = workers;
    harness.submit(lasting(10));
    harness.planStarts();
    harness.clock.advance(500);
    runsOn(runs, first).forEach(run => harness.reportEnd(run, EndKind.Done));
    const [unanswered] = harness.planStarts();
    t.equal(unanswered?.worker, first);
    if (unanswered !== undefined) {
        const { worker, task, number } = unanswered;
        harness.scheduler.responses.recordStart(unanswered, StartOutcome.Unknown);
        harness.planOrders();
        harness.scheduler.responses.recordStop(worker, task.name, number);
        harness.scheduler.registerWorker({ ...worker.entry, isDraining: true });
        harness.clock.advance(StarvedMs - 500);
        harness.reportListing(worker, [], []);
    }
    harness.planStarts();
    t.ok(second?.heldFor, "it is starved, so that a worker is held");
    t.end();
});

// Guards against a task that goes before all others when its run ends, since its wait before the run is still counted.
t.test("a task whose run was found on a worker has not waited meanwhile", t => {
    const harness = SchedulerHarness.create();
    const { workers } = fillWithShort(harness, 2, 8, 20_000);
    const [first, second] = workers;
    harness.submit(lasting(10));
    harness.planStarts();
    const [task] = harness.scheduler.jobs.get("2".padStart(16, "0"))?.tasks() ?? [];
    if (task === undefined || first === undefined || second === undefined) {
        return t.end();
    }
    const listed = [...first.runs.values()].map(SchedulerHarness.listedRun);
    const found = { task: task.name, number: 7, checkpoint: "", progressPercent: 50, gauge: 0 };
    harness.reportListing(first, [...listed, found], []);
    harness.clock.advance(19_000);
    const { run } = task;
    t.equal(run?.number, found.number);
    if (run !== undefined) {
        harness.reportEnd(run, EndKind.Failed);
    }
    harness.clock.advance(TickMs);
    harness.planStarts();
    t.equal(heldWorkers(workers).length, 0, "it is not overdue yet");
    t.end();
});
