import t from "tap";
import { Resources } from "@samphireward/core/resources";
import { EndKind } from "../src/end-kind.js";
import { OrderKind } from "../src/order-kind.js";
import type { Run } from "../src/run.js";
import { StartOutcome } from "../src/start-outcome.js";
import type { StepSpec } from "../src/step-spec.js";
import { StopReason } from "../src/stop-reason.js";
import type { WorkerIncarnation } from "../src/worker-incarnation.js";
import { queueRule } from "./fixtures/queue-rule.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const evacuated = "herning-a";
const other = "herning-b";
/** Time after which a place is looked for again. */
const SearchPauseMs = 1_000;
const wholeWorker = Resources.create({ processors: 16, memoryMb: 100 });
const lasting: Partial<StepSpec> = { lasting: true, count: 8 };
const longCheckpointed: Partial<StepSpec> = { checkpoints: true, estimatedMs: 20_000 };

/** A scheduler with a worker in the data centre to evacuate, on which the steps run, and one elsewhere. */
const setUp = (
    ...steps: Partial<StepSpec>[]
): { harness: SchedulerHarness; leaving: WorkerIncarnation; staying: WorkerIncarnation; runs: Run[] } => {
    const harness = SchedulerHarness.create();
    const leaving = harness.addWorker("leaving", { zone: evacuated });
    steps.forEach(step => harness.submit(step));
    const runs = harness.planAndStartAll();
    listAll(harness, leaving);
    const staying = harness.addWorker("staying", { zone: other });
    return { harness, leaving, staying, runs };
};

/** Lists all runs of a worker: lasting tasks at work, others at the given progress. */
const listAll = (harness: SchedulerHarness, worker: WorkerIncarnation, progressPercent = 10): void => {
    const listed = [...worker.runs.values()].map(run => ({
        ...SchedulerHarness.listedRun(run),
        progressPercent: run.task.step.spec.lasting ? 100 : progressPercent,
    }));
    harness.clock.advance(1);
    harness.reportListing(worker, listed, []);
};

const evacuate = (harness: SchedulerHarness, ...dataCentres: string[]): void =>
    harness.scheduler.setEvacuated(new Set(dataCentres));

/** The tasks that a plan stops because of the evacuation. */
const movedTasks = (harness: SchedulerHarness): string[] =>
    harness
        .planOrders()
        .flatMap(order =>
            order.kind === OrderKind.Stop && order.reason === StopReason.Evacuated ? [order.task] : [],
        );

// Guards against starts on workers that are about to be taken away, and against a data centre that stays empty after the
// operators have taken it back.
t.test("nothing starts in an evacuated data centre, and starts resume once it is taken back", t => {
    const { harness, leaving, staying } = setUp();
    evacuate(harness, evacuated);
    harness.submit({ count: 40 });
    t.same(new Set(harness.planAndStartAll().map(run => run.worker)), new Set([staying]));
    t.equal(leaving.runs.size, 0);
    evacuate(harness);
    t.same(new Set(harness.planAndStartAll().map(run => run.worker)), new Set([leaving]));
    t.end();
});

// Guards against starts on a worker that registers, or registers anew, after the request was read.
t.test("a worker that registers in an evacuated data centre gets no starts", t => {
    const harness = SchedulerHarness.create();
    evacuate(harness, evacuated);
    harness.addWorker("late", { zone: evacuated });
    harness.addWorker("late", { zone: evacuated, startedAtMs: 2 });
    harness.submit({});
    t.same(harness.planStarts(), []);
    t.end();
});

const leavesCases: { name: string; step: Partial<StepSpec>; progress?: number; moves: boolean }[] = [
    { name: "a long run with checkpoints moves", step: longCheckpointed, moves: true },
    { name: "one that is nearly done is left to end", step: longCheckpointed, progress: 90, moves: false },
    { name: "a short run is left to end", step: { checkpoints: true }, moves: false },
    { name: "work that a stop would lose is left to end", step: { estimatedMs: 20_000 }, moves: false },
    { name: "a lasting task moves", step: { lasting: true }, moves: true },
    {
        name: "a lasting task stays if none may be unavailable",
        step: { lasting: true, maxUnavailable: 0 },
        moves: false,
    },
];

// Guards against work that is thrown away, and against tasks that stay in the data centre for good.
for (const { name, step, progress, moves } of leavesCases) {
    t.test(`running work when its data centre is evacuated: ${name}`, t => {
        const { harness, leaving, runs } = setUp(step);
        if (progress !== undefined) {
            harness.clock.advance(16_000);
            listAll(harness, leaving, progress);
        }
        evacuate(harness, evacuated);
        t.same(movedTasks(harness), moves ? runs.map(run => run.task.name) : []);
        t.end();
    });
}

// Guards against a job whose tasks are all unavailable at the same time because its data centre is evacuated.
t.test("load pattern: all tasks of a lasting job run in the data centre", t => {
    const { harness, leaving, staying, runs } = setUp(lasting);
    evacuate(harness, evacuated);
    let plans = 0;
    while (leaving.runs.size > 0 && plans < 100) {
        plans++;
        const stopping = movedTasks(harness);
        const away = runs.filter(({ task }) => task.run === undefined || task.run.isStopRequested);
        t.ok(away.length <= 2, `${away.length} of 8 are unavailable`);
        [...leaving.runs.values()]
            .filter(run => stopping.includes(run.task.name))
            .forEach(run => harness.reportEnd(run, EndKind.Stopped));
        harness.planAndStartAll();
        listAll(harness, leaving);
        listAll(harness, staying);
    }
    t.equal(staying.runs.size, 8, "all of them run elsewhere");
    t.same(harness.scheduler.evacuations, [{ dataCentre: evacuated, runs: 0, isComplete: true }]);
    t.end();
});

// Guards against tasks that are stopped for capacity that does not exist, or that others need.
t.test("load pattern: the other data centre is full", t => {
    const { harness, staying } = setUp(lasting);
    harness.submit({ resources: wholeWorker });
    harness.planAndStartAll();
    t.equal(staying.runs.size, 1);
    evacuate(harness, evacuated);
    t.same(movedTasks(harness), []);
    evacuate(harness, evacuated, other);
    t.same(movedTasks(harness), [], "nor into another data centre that is evacuated");
    t.end();
});

// Guards against moves that take the capacity of waiting work: the moved tasks would wait as well, and preempt others.
t.test("load pattern: work waits while a data centre is evacuated", t => {
    const { harness, staying } = setUp(lasting);
    harness.submit({ resources: Resources.create({ processors: 1 }) });
    t.equal(harness.planAndStartAll()[0]?.worker, staying);
    evacuate(harness, evacuated);
    harness.submit({ resources: wholeWorker });
    t.same(movedTasks(harness), []);
    t.end();
});

const unplaceableSteps: { name: string; step: Partial<StepSpec> }[] = [
    {
        name: "needs a label that only the evacuated data centre has",
        step: { requiredLabel: "leaving only" },
    },
    { name: "is larger than any worker", step: { resources: Resources.create({ processors: 17 }) } },
];

// Guards against a data centre that is never emptied because of a task that no worker outside it could take anyway.
for (const { name, step } of unplaceableSteps) {
    t.test(`load pattern: the only waiting task ${name}`, t => {
        const { harness } = setUp(lasting);
        evacuate(harness, evacuated);
        harness.submit(step);
        t.equal(movedTasks(harness).length, 1);
        t.end();
    });
}

// Guards against moves that are held back by, or counted against, workers that their tasks cannot use.
t.test("load pattern: the workers of another service are full, and work waits for them", t => {
    const harness = SchedulerHarness.create();
    harness.scheduler.setQueues([queueRule("queue"), { ...queueRule("other"), service: "other" }]);
    const leaving = harness.addWorker("leaving", { zone: evacuated });
    harness.submit(lasting);
    harness.planAndStartAll();
    listAll(harness, leaving);
    for (let index = 0; index < 20; index++) {
        harness.addWorker(`full-${index}`, { zone: other, service: "other" });
    }
    const spec = harness.makeJob({ resources: wholeWorker, count: 21 });
    harness.scheduler.addJob({ ...spec, queue: "other" });
    harness.planAndStartAll();
    harness.addWorker("staying", { zone: other });
    evacuate(harness, evacuated);
    t.equal(movedTasks(harness).length, 1);
    t.end();
});

/** Answers the next request to the permit service: these workers may run the step for some time. */
const permit = (harness: SchedulerHarness, ...workers: string[]): string[] => {
    const req = harness.scheduler.nextPermitRequest();
    if (req !== undefined) {
        const tickets = new Map(workers.map(id => [id, `ticket ${id}`]));
        harness.scheduler.notePermits(req, tickets, harness.clock.nowMs() + 3_000);
    }
    return req?.workers.map(({ entry }) => entry.id) ?? [];
};

// Guards against tasks that stay in the data centre for good because permits were requested for waiting tasks only, and
// against tasks that are stopped although they may run nowhere else.
for (const permitted of [true, false]) {
    t.test(
        `a task that needs a permit moves only where it has one: ${permitted ? "granted" : "denied"}`,
        t => {
            const harness = SchedulerHarness.create();
            harness.requirePermits();
            const leaving = harness.addWorker("leaving", { zone: evacuated });
            harness.submit({ lasting: true });
            harness.planOrders();
            permit(harness, "leaving");
            harness.planAndStartAll();
            listAll(harness, leaving);
            harness.addWorker("staying", { zone: other });
            harness.clock.advance(5_000);
            evacuate(harness, evacuated);
            t.same(movedTasks(harness), [], "no permit yet");
            t.same(permit(harness, ...(permitted ? ["staying"] : [])), ["staying"]);
            t.equal(movedTasks(harness).length, permitted ? 1 : 0);
            t.same(permit(harness), [], "no further request");
            t.end();
        },
    );
}

// Guards against a task of a previous owner that is stopped for a worker on which it turns out to have no permit.
t.test("a task that was found on its worker waits for a permit before it moves", t => {
    const harness = SchedulerHarness.create(2);
    harness.requirePermits();
    const spec = harness.makeJob({ lasting: true });
    harness.inherit(spec);
    harness.scheduler.expectInheritedWorkers(["leaving/1"]);
    evacuate(harness, evacuated);
    const leaving = harness.addUnreadWorker("leaving", { zone: evacuated });
    harness.addWorker("staying", { zone: other });
    const task = `${spec.id}.0.0.0`;
    harness.reportListing(leaving, [{ task, number: 1, checkpoint: "", progressPercent: 100, gauge: 0 }], []);
    t.same(movedTasks(harness), []);
    t.same(permit(harness, "staying"), ["staying"]);
    t.same(movedTasks(harness), [task]);
    t.end();
});

// Guards against a gang of which a part is stopped: the others would lose their work since the last checkpoint.
t.test("the members of a gang move together, or not at all", t => {
    const gang = {
        ...longCheckpointed,
        gang: true,
        count: 2,
        resources: Resources.create({ processors: 8 }),
    };
    const { harness, runs } = setUp(gang);
    harness.submit({});
    harness.planAndStartAll();
    evacuate(harness, evacuated);
    t.same(movedTasks(harness), [], "one of the members has no place");
    harness.addWorker("more", { zone: other });
    harness.clock.advance(SearchPauseMs);
    t.same(movedTasks(harness).sort(), runs.map(run => run.task.name).sort());
    t.end();
});

// Guards against a task that runs twice because its start in the data centre got no answer before the evacuation.
t.test("a start without an answer is stopped there before the task starts elsewhere", t => {
    const { harness, leaving, staying } = setUp();
    staying.isRegistered = false;
    harness.submit({});
    const [run] = harness.planStarts();
    staying.isRegistered = true;
    if (run === undefined) {
        throw new Error("Expected a start in the data centre");
    }
    harness.scheduler.responses.recordStart(run, StartOutcome.Unknown);
    evacuate(harness, evacuated);
    const orders = harness.planOrders();
    t.match(orders, [{ kind: OrderKind.Stop, worker: { key: leaving.key }, reason: StopReason.NoAnswer }]);
    t.equal(harness.scheduler.evacuations[0]?.isComplete, false, "it may still be carried out there");
    harness.scheduler.responses.recordStop(leaving, run.task.name, run.number);
    harness.clock.advance(1);
    harness.reportListing(leaving, [], []);
    t.same(
        harness.planStarts().map(({ worker }) => worker.entry.id),
        ["staying"],
    );
    t.end();
});

// Guards against a trial that keeps its task waiting on a worker that gets no starts any more.
t.test("a trial in an evacuated data centre is opened elsewhere", t => {
    const { harness } = setUp();
    const spec = harness.submit({});
    const task = [...(harness.scheduler.jobs.get(spec.id)?.tasks() ?? [])][0];
    if (task === undefined) {
        throw new Error("Expected a task");
    }
    task.suspicion = 1;
    harness.scheduler.plan();
    const first = task.trial?.worker;
    evacuate(harness, first?.entry.zone ?? evacuated);
    harness.planOrders();
    harness.planOrders();
    t.not(task.trial?.worker, first);
    t.not(task.trial?.worker, undefined);
    t.end();
});

// Guards against lasting tasks that are preempted in the data centre for short tasks that cannot start there.
t.test("no lasting task in the data centre is preempted for waiting short tasks", t => {
    const { harness, staying } = setUp({ lasting: true, resources: wholeWorker });
    harness.submit({ resources: wholeWorker });
    harness.planAndStartAll();
    listAll(harness, staying, 0);
    evacuate(harness, evacuated);
    harness.submit({});
    harness.planOrders();
    harness.clock.advance(4_000);
    t.same(
        harness.planOrders().filter(({ kind }) => kind === OrderKind.Stop),
        [],
    );
    t.end();
});

// Guards against a data centre that is reported as empty while a worker of the previous owner may run tasks there.
t.test("a new owner finds the runs of an evacuated data centre and moves them", t => {
    const harness = SchedulerHarness.create(2);
    const spec = harness.makeJob({ lasting: true });
    harness.inherit(spec);
    harness.scheduler.expectInheritedWorkers(["leaving/1"]);
    evacuate(harness, evacuated);
    const leaving = harness.addUnreadWorker("leaving", { zone: evacuated });
    harness.addWorker("staying", { zone: other });
    t.equal(harness.scheduler.evacuations[0]?.isComplete, false);
    const task = `${spec.id}.0.0.0`;
    const run = { task, number: 1, checkpoint: "", progressPercent: 100, gauge: 0 };
    harness.reportListing(leaving, [run], []);
    t.same(harness.scheduler.evacuations, [{ dataCentre: evacuated, runs: 1, isComplete: false }]);
    t.same(movedTasks(harness), [task]);
    t.end();
});

// Guards against moves that go on after the operators have taken the data centre back.
t.test("a data centre that is taken back while it is emptied keeps the runs that were not stopped", t => {
    const { harness, leaving, runs } = setUp(lasting);
    evacuate(harness, evacuated);
    const [moved] = movedTasks(harness);
    evacuate(harness);
    t.same(movedTasks(harness), []);
    const stopped = runs.find(run => run.task.name === moved);
    if (stopped === undefined) {
        throw new Error("Expected a stopped run");
    }
    harness.reportEnd(stopped, EndKind.Stopped);
    t.equal(harness.planAndStartAll().length, 1, "the stopped task starts again");
    t.ok(leaving.runs.size >= 7);
    t.end();
});

// Guards against a task that runs twice, or never again, because its data centre is taken back before its stop is answered.
t.test("a data centre is taken back in the middle of a stop", t => {
    const { harness, leaving, runs } = setUp({ lasting: true });
    const [run] = runs;
    if (run === undefined) {
        throw new Error("Expected a run");
    }
    evacuate(harness, evacuated);
    t.same(movedTasks(harness), [run.task.name]);
    evacuate(harness);
    harness.clock.advance(600);
    t.match(harness.planOrders(), [{ kind: OrderKind.Stop, task: run.task.name }], "the stop is repeated");
    t.equal(leaving.runs.size, 1, "the task does not start before the run has ended");
    harness.reportEnd(run, EndKind.Stopped);
    t.same(
        harness.planAndStartAll().map(({ task }) => task),
        [run.task],
    );
    t.same(harness.planOrders(), []);
    t.end();
});

// Guards against moves from one evacuated data centre into another, and against a state of one that hides the other's.
t.test("two data centres are evacuated at once", t => {
    const { harness, leaving, staying } = setUp(lasting);
    evacuate(harness, evacuated, other);
    t.same(movedTasks(harness), []);
    t.same(harness.scheduler.evacuations, [
        { dataCentre: evacuated, runs: 8, isComplete: false },
        { dataCentre: other, runs: 0, isComplete: true },
    ]);
    const third = harness.addWorker("third", { zone: "herning-c" });
    const [moved] = movedTasks(harness);
    const run = [...leaving.runs.values()].find(({ task }) => task.name === moved);
    if (run === undefined) {
        throw new Error("Expected a moved run");
    }
    harness.reportEnd(run, EndKind.Stopped);
    t.same(
        harness.planAndStartAll().map(({ worker }) => worker),
        [third],
    );
    t.equal(staying.runs.size, 0);
    t.end();
});

// Guards against a data centre that is reported as empty while a worker there may still carry out a start.
t.test("a start may be carried out late on a worker that does not answer", t => {
    const { harness, leaving, staying } = setUp();
    staying.isRegistered = false;
    harness.submit({});
    const [run] = harness.planStarts();
    staying.isRegistered = true;
    if (run === undefined) {
        throw new Error("Expected a start in the data centre");
    }
    harness.scheduler.responses.recordStart(run, StartOutcome.Unknown);
    harness.scheduler.noteUnreachable(leaving);
    evacuate(harness, evacuated);
    harness.clock.advance(8_000);
    harness.planOrders();
    t.same(harness.scheduler.evacuations, [{ dataCentre: evacuated, runs: 1, isComplete: false }]);
    harness.reportListing(leaving, [SchedulerHarness.listedRun(run)], []);
    t.match(harness.planOrders(), [{ kind: OrderKind.Stop, worker: { key: leaving.key } }]);
    t.equal(harness.scheduler.evacuations[0]?.isComplete, false, "it has been carried out");
    t.end();
});

// Guards against a worker that keeps the state of the data centre in which it was before.
t.test("a worker that moves to another data centre follows the requests for that one", t => {
    const { harness, leaving, staying } = setUp(lasting);
    evacuate(harness, evacuated);
    harness.scheduler.registerWorker({ ...leaving.entry, zone: other });
    t.same(movedTasks(harness), []);
    t.same(harness.scheduler.evacuations, [{ dataCentre: evacuated, runs: 0, isComplete: true }]);
    harness.scheduler.registerWorker({ ...staying.entry, zone: evacuated });
    harness.submit({});
    t.same(
        harness.planAndStartAll().map(({ worker }) => worker),
        [leaving],
    );
    t.end();
});
