import { Resources } from "@samphireward/core/resources";
import t from "tap";
import { EndKind } from "../src/end-kind.js";
import { JobState } from "../src/job-state.js";
import { minNeighbourAgeMs } from "../src/min-neighbour-age-ms.js";
import { readProgress } from "../src/read-progress.js";
import { recentStartMs } from "../src/recent-start-ms.js";
import type { Run } from "../src/run.js";
import type { Task } from "../src/task.js";
import { settledRunMs } from "../src/settled-run-ms.js";
import type { WorkerIncarnation } from "../src/worker-incarnation.js";
import { SchedulerHarness } from "./scheduler-harness.js";

/** Longer than a lease with its margins, and than the time in which other losses are awaited. */
const LeaseOverMs = 7_000;
/** Longer than the time in which a replacement of a lost worker is awaited. */
const UnprovenMs = 13_000;

let bornMs = 1;

const addWorker = (harness: SchedulerHarness, id: string, rack = "r1-1"): WorkerIncarnation =>
    harness.addWorker(id, { address: `${id}:1`, rack, startedAtMs: ++bornMs });

/** Lists the runs of all workers that answer, so that their leases go on. */
const heartbeat = (harness: SchedulerHarness, ...workers: readonly WorkerIncarnation[]): void => {
    for (const worker of workers) {
        harness.scheduler.noteLeaseExtension(worker);
        harness.reportListing(worker, [...worker.runs.values()].map(SchedulerHarness.listedRun), []);
    }
};

/** Loses workers at the same time, until their leases are over. */
const lose = (harness: SchedulerHarness, ...workers: readonly WorkerIncarnation[]): void => {
    workers.forEach(worker => harness.scheduler.noteUnreachable(worker));
    harness.clock.advance(LeaseOverMs);
};

const startOne = (harness: SchedulerHarness): Run | undefined => harness.planAndStartAll()[0];

/** Plans every 100 ms, with answers of these workers, until a run starts or the time is over. */
const planUntilStart = (
    harness: SchedulerHarness,
    workers: readonly WorkerIncarnation[],
    maxMs: number,
): readonly Run[] => {
    for (let elapsedMs = 0; elapsedMs < maxMs; elapsedMs += 100) {
        const runs = harness.planAndStartAll();
        if (runs.length > 0) {
            return runs;
        }
        harness.clock.advance(100);
        heartbeat(harness, ...workers);
    }
    return [];
};

const answering = (harness: SchedulerHarness): readonly WorkerIncarnation[] =>
    [...harness.scheduler.fleet.workers].filter(({ isReachable }) => isReachable);

/** Plans until the only waiting task starts. */
const startWaiting = (harness: SchedulerHarness): Run => {
    const [run] = planUntilStart(harness, answering(harness), 10_000);
    if (run === undefined) {
        throw new Error("expected a start");
    }
    return run;
};

/** Loses the worker of a run while the others answer, and starts another worker in its place. */
const crash = (harness: SchedulerHarness, { worker }: Run): void => {
    lose(harness, worker);
    heartbeat(harness, ...answering(harness));
    const { address } = worker.entry;
    const next = harness.addUnreadWorker(`${worker.entry.id}-next`, { address, startedAtMs: ++bornMs });
    harness.reportListing(next, [], []);
};

/** Starts the only waiting task until so many workers have crashed under it. */
const crashUnderTask = (harness: SchedulerHarness, count: number): Task => {
    const crashed = Array.from({ length: count }, () => {
        const run = startWaiting(harness);
        crash(harness, run);
        return run;
    });
    const [first] = crashed;
    if (first === undefined) {
        throw new Error("expected a crash");
    }
    return first.task;
};

const addWorkers = (harness: SchedulerHarness, count: number): readonly WorkerIncarnation[] => {
    const workers = Array.from({ length: count }, (_, index) =>
        addWorker(harness, `w${index}`, `r1-${index}`),
    );
    heartbeat(harness, ...workers);
    return workers;
};

// Guards against a sound job that is shown as failed: two losses soon after a start are ordinary where workers crash.
t.test("a job goes on after two workers have crashed under one of its tasks", t => {
    const harness = SchedulerHarness.create();
    addWorkers(harness, 20);
    const spec = harness.submit({});
    const task = crashUnderTask(harness, 2);
    t.equal(startWaiting(harness).task, task);
    t.equal(harness.scheduler.jobs.get(spec.id)?.endState, undefined);
    t.end();
});

// Guards against a task that crashes workers without a limit, and against a job that ends as failed without the reason,
// which callers and the next owner need.
t.test("a task under which three workers crash at the same age is given up with the reason", t => {
    const harness = SchedulerHarness.create();
    addWorkers(harness, 20);
    const spec = harness.submit({});
    crashUnderTask(harness, 3);
    harness.planOrders();
    const job = harness.scheduler.jobs.get(spec.id);
    t.equal(job?.endState, JobState.Failed);
    t.equal(job && readProgress(job).endReason, "worker-crashes");
    t.strictSame(job?.status, { state: JobState.Running }, "the end is not durable");
    if (job !== undefined) {
        job.storedEndState = job.endState;
    }
    t.match(job?.status, { state: JobState.Failed, reason: "worker-crashes" });
    t.end();
});

// Guards against a task that crashes more workers than it may because the cell loses workers for other reasons as well.
t.test("a task is given up after four crashes at the same age, whatever else explains them", t => {
    const harness = SchedulerHarness.create();
    addWorkers(harness, 2);
    const spec = harness.submit({});
    // The fourth start shows that three crashes are not enough in a cell that is small and loses all its workers.
    crashUnderTask(harness, 4);
    harness.planOrders();
    t.equal(harness.scheduler.jobs.get(spec.id)?.endState, JobState.Failed);
    t.end();
});

// Guards against a sound job that is shown as failed although its task had run for different times when its workers
// crashed, which a task that crashes them does not.
t.test("crashes at different ages are no evidence against a task", t => {
    const harness = SchedulerHarness.create();
    addWorkers(harness, 20);
    const spec = harness.submit({});
    const task = crashUnderTask(harness, 2);
    const run = startWaiting(harness);
    t.equal(task.suspicion, 2);
    harness.clock.advance(900);
    heartbeat(harness, ...answering(harness));
    crash(harness, run);
    harness.planOrders();
    t.equal(task.suspicion, 1, "its worker had survived it for longer");
    t.equal(harness.scheduler.jobs.get(spec.id)?.endState, undefined);
    t.end();
});

// Guards against a sound job that is shown as failed because the next crash of the cell takes its last allowed worker.
t.test("a task close to its limit waits until the cell loses few workers", t => {
    const harness = SchedulerHarness.create();
    const workers = addWorkers(harness, 20);
    const spec = harness.submit({});
    const task = [...(harness.scheduler.jobs.get(spec.id)?.tasks() ?? [])][0];
    task?.crashes.inheritCount(3);
    t.same(planUntilStart(harness, workers, 7_500), [], "the owner does not know how many were lost before");
    const silent = workers.slice(0, 2);
    silent.forEach(worker => harness.scheduler.noteUnreachable(worker));
    t.same(planUntilStart(harness, workers.slice(2), 3_000), [], "two workers do not answer");
    heartbeat(harness, ...workers);
    t.equal(planUntilStart(harness, workers, 3_000)[0]?.task, task);
    t.end();
});

// Guards against a sound job that is shown as failed because its workers fell silent for good and nothing shows a crash.
t.test("the loss of a worker that nothing replaces does not count", t => {
    const harness = SchedulerHarness.create();
    const workers = addWorkers(harness, 20);
    const spec = harness.submit({});
    const task = startOne(harness)?.task;
    const worker = task?.run?.worker;
    if (worker !== undefined) {
        lose(harness, worker);
    }
    heartbeat(harness, ...workers.filter(each => each !== worker));
    harness.planOrders();
    t.equal(task?.suspicion, 1, "it may have crashed");
    harness.clock.advance(UnprovenMs);
    heartbeat(harness, ...workers.filter(each => each !== worker));
    harness.planOrders();
    t.equal(task?.suspicion, 0);
    t.equal(harness.scheduler.jobs.get(spec.id)?.endState, undefined);
    t.end();
});

// Guards against a task that crashes workers without a limit because they take longer to start again.
t.test("the loss of a worker that is replaced late counts in the end", t => {
    const harness = SchedulerHarness.create();
    const workers = addWorkers(harness, 20);
    harness.submit({});
    const run = startWaiting(harness);
    lose(harness, run.worker);
    harness.clock.advance(UnprovenMs);
    const others = workers.filter(worker => worker !== run.worker);
    heartbeat(harness, ...others);
    harness.planOrders();
    t.equal(run.task.suspicion, 0, "it may be cut off");
    const { address } = run.worker.entry;
    harness.addUnreadWorker("late", { address, startedAtMs: ++bornMs });
    harness.planOrders();
    t.equal(run.task.suspicion, 1);
    t.end();
});

// Guards against a sound job that is shown as failed because each owner inherits as a crash what the one before it had not
// decided about.
t.test("the next owner takes the loss of a worker back that answers it", t => {
    const harness = SchedulerHarness.create();
    addWorkers(harness, 20);
    const spec = harness.submit({});
    const run = startWaiting(harness);
    lose(harness, run.worker);
    heartbeat(harness, ...answering(harness));
    harness.planOrders();
    const job = harness.scheduler.jobs.get(spec.id);
    t.equal(run.task.suspicion, 1);
    const next = SchedulerHarness.create(2);
    next.inherit(spec, job && readProgress(job));
    const worker = next.addUnreadWorker(run.worker.entry.id, run.worker.entry);
    answering(harness).forEach(({ entry }) => next.addWorker(entry.id, entry));
    next.planOrders();
    const [task] = [...(next.scheduler.jobs.get(spec.id)?.tasks() ?? [])];
    t.equal(task?.suspicion, 1, "it may have crashed");
    next.reportListing(worker, [], []);
    t.equal(task?.suspicion, 0);
    t.end();
});

// Guards against a new owner that gives a job up for crashes of which it knows the number alone, or that starts a task
// beyond its limit since it does not know them.
t.test("the next owner knows the evidence against a task, and an earlier build does not give it up", t => {
    const harness = SchedulerHarness.create();
    addWorkers(harness, 2);
    const spec = harness.submit({});
    const task = crashUnderTask(harness, 3);
    harness.planOrders();
    const job = harness.scheduler.jobs.get(spec.id);
    if (job === undefined) {
        throw new Error("expected a job");
    }
    const progress = readProgress(job);
    const mark = progress.open[0]?.steps[0]?.marks[0];
    t.equal(mark?.suspicion, 2, "below the limit of earlier builds");
    const next = SchedulerHarness.create(2);
    next.inherit(spec, progress);
    const inherited = [...(next.scheduler.jobs.get(spec.id)?.tasks() ?? [])][0];
    t.strictSame(inherited?.crashes.evidence.fields, task.crashes.evidence.fields);
    t.equal(next.scheduler.jobs.get(spec.id)?.endState, undefined);
    t.end();
});

// Guards against tasks of a lost worker that wait for trials one after the other, although they had run there for long.
t.test("a task that had run before its worker was lost starts again at once", t => {
    const harness = SchedulerHarness.create();
    const [first, second] = ["w1", "w2"].map(id => addWorker(harness, id));
    if (first === undefined || second === undefined) {
        throw new Error("expected two workers");
    }
    heartbeat(harness, first, second);
    harness.submit({ count: 3, lasting: true });
    const lost = harness.planAndStartAll().filter(run => run.worker === first);
    t.ok(lost.length > 0);
    harness.clock.advance(recentStartMs);
    heartbeat(harness, first, second);
    lose(harness, first);
    heartbeat(harness, second);
    t.equal(harness.planAndStartAll().length, lost.length);
    t.end();
});

// Guards against all tasks of a worker waiting for trials although they had run there for long: a new owner counts the
// runs that it finds from the time at which it finds them.
t.test("a task that a new owner found running starts again at once when its worker is lost", t => {
    const harness = SchedulerHarness.create(2);
    const spec = harness.makeJob({ count: 3, lasting: true });
    harness.inherit(spec);
    const [found, other] = ["w1", "w2"].map(id => addWorker(harness, id));
    if (found === undefined || other === undefined) {
        throw new Error("expected two workers");
    }
    const running = [0, 1, 2].map(index => ({
        task: `${spec.id}.0.0.${index}`,
        number: 1,
        checkpoint: "",
        progressPercent: 100,
        gauge: 0,
    }));
    harness.reportListing(found, running, []);
    lose(harness, found);
    heartbeat(harness, other);
    t.equal(harness.planAndStartAll().length, running.length);
    t.end();
});

// Guards against a task that crashes workers without a limit because a new owner excuses what it starts itself.
t.test("a task that a new owner started just before its worker was lost is suspected", t => {
    const harness = SchedulerHarness.create(2);
    harness.inherit(harness.makeJob({}));
    const worker = addWorker(harness, "w1");
    harness.scheduler.noteLeaseExtension(worker);
    const run = startOne(harness);
    lose(harness, worker);
    harness.planOrders();
    t.equal(run?.task.suspicion, 1);
    t.end();
});

// Guards against a job that is given up because its workers were only cut off.
t.test("a worker that answers again has not crashed", t => {
    const harness = SchedulerHarness.create();
    const spec = harness.submit({});
    const workers = ["w1", "w2", "w3", "w4"].map(id => addWorker(harness, id));
    heartbeat(harness, ...workers);
    let run = startOne(harness);
    for (let cut = 1; cut <= workers.length; cut++) {
        const lost = run?.worker;
        if (lost !== undefined) {
            lose(harness, lost);
            heartbeat(harness, ...workers.filter(worker => worker !== lost));
            run = startOne(harness);
            t.equal(run?.task.suspicion, 1, `cut ${cut}`);
            heartbeat(harness, lost);
            t.equal(run?.task.suspicion, 0, `answer after cut ${cut}`);
        }
    }
    t.equal(harness.scheduler.jobs.get(spec.id)?.endState, undefined);
    t.end();
});

// Guards against tasks that wait for trials, or whose jobs are given up, because their rack was lost.
t.test("the loss of most of a rack counts against no task", t => {
    const harness = SchedulerHarness.create();
    const rack = ["w1", "w2", "w3", "w4"].map(id => addWorker(harness, id, "r1-1"));
    const others = ["w5", "w6", "w7", "w8"].map(id => addWorker(harness, id, "r1-2"));
    for (let count = 0; count < 8; count++) {
        harness.submit({ resources: Resources.create({ processors: 16, memoryMb: 100 }) });
    }
    heartbeat(harness, ...rack, ...others);
    const runs = harness.planAndStartAll();
    t.equal(runs.length, 8);
    lose(harness, ...rack.slice(0, 3));
    heartbeat(harness, ...others, ...rack.slice(3));
    harness.clock.advance(UnprovenMs - LeaseOverMs);
    heartbeat(harness, ...others, ...rack.slice(3));
    harness.planOrders();
    t.strictSame(
        runs.map(({ task }) => task.suspicion),
        runs.map(() => 0),
    );
    t.end();
});

// Guards against a neighbour that is blamed for a crash that the task on trial explains.
t.test("a crash during a trial counts against the task on trial alone", t => {
    const harness = SchedulerHarness.create();
    const first = addWorker(harness, "w1");
    harness.scheduler.noteLeaseExtension(first);
    harness.submit({});
    const suspect = startOne(harness)?.task;
    lose(harness, first);
    const second = addWorker(harness, "w2");
    harness.scheduler.noteLeaseExtension(second);
    t.equal(startOne(harness)?.task, suspect);
    harness.submit({});
    t.same(harness.planStarts(), [], "nothing else starts during the trial");
    harness.clock.advance(2_000);
    heartbeat(harness, second);
    t.equal(startOne(harness)?.worker, second, "the trial is over");
    t.equal(suspect?.suspicion, 1, "but the suspicion is not");
    t.end();
});

// Guards against a crash that another task may explain, because it had just started where a trial began: the task on trial
// then crashes one worker more.
t.test("a trial begins when the other tasks of its worker have run for a while", t => {
    const harness = SchedulerHarness.create();
    const first = addWorker(harness, "w1");
    harness.scheduler.noteLeaseExtension(first);
    harness.submit({});
    const suspect = startOne(harness)?.task;
    lose(harness, first);
    harness.planOrders();
    const second = addWorker(harness, "w2");
    heartbeat(harness, second);
    if (suspect !== undefined) {
        suspect.notBeforeMs = harness.clock.nowMs() + 1;
    }
    harness.submit({});
    t.not(startOne(harness)?.task, suspect);
    harness.clock.advance(1);
    t.same(harness.planStarts(), [], "another task has just started there");
    harness.clock.advance(minNeighbourAgeMs);
    t.equal(startOne(harness)?.task, suspect);
    t.end();
});

// Guards against two suspected tasks on one worker: a crash would not tell which of them is the cause.
t.test("suspected tasks start on different workers", t => {
    const harness = SchedulerHarness.create();
    const first = addWorker(harness, "w1");
    harness.scheduler.noteLeaseExtension(first);
    harness.submit({ count: 3 });
    t.equal(harness.planAndStartAll().length, 3);
    lose(harness, first);
    const workers = Array.from({ length: 18 }, (_, index) => addWorker(harness, `v${index}`));
    heartbeat(harness, ...workers);
    const runs = harness.planAndStartAll();
    t.equal(runs.length, 3);
    t.equal(new Set(runs.map(({ worker }) => worker)).size, 3);
    t.end();
});

// Guards against a lasting task that stays suspected for good.
t.test("a lasting task that its worker survives is cleared", t => {
    const harness = SchedulerHarness.create();
    const first = addWorker(harness, "w1");
    harness.scheduler.noteLeaseExtension(first);
    harness.submit({ lasting: true });
    t.ok(startOne(harness));
    lose(harness, first);
    const second = addWorker(harness, "w2");
    heartbeat(harness, second);
    const run = startOne(harness);
    t.equal(run?.task.suspicion, 1);
    harness.clock.advance(settledRunMs);
    heartbeat(harness, second);
    t.equal(run?.task.suspicion, 0);
    t.end();
});

// Guards against blame for a worker that was drained and then left as planned.
t.test("the end of a draining worker counts against no task", t => {
    const harness = SchedulerHarness.create();
    const worker = addWorker(harness, "w1");
    harness.scheduler.noteLeaseExtension(worker);
    harness.submit({});
    const run = startOne(harness);
    harness.scheduler.registerWorker({ ...worker.entry, isDraining: true });
    lose(harness, worker);
    harness.planOrders();
    t.equal(run?.task.suspicion, 0);
    t.end();
});

// Guards against a crash that is not counted because the owner changed before it was known, and against a trial that the
// next owner does not know.
t.test("the next owner counts the crash of a worker that is stored with the task", t => {
    const harness = SchedulerHarness.create();
    const worker = addWorker(harness, "w1");
    harness.scheduler.noteLeaseExtension(worker);
    const spec = harness.submit({});
    startOne(harness);
    harness.scheduler.noteUnreachable(worker);
    const job = harness.scheduler.jobs.get(spec.id);
    t.ok(job);
    if (job !== undefined) {
        const next = SchedulerHarness.create(2);
        next.inherit(spec, readProgress(job));
        next.scheduler.expectInheritedWorkers([worker.key]);
        addWorker(next, "w2");
        const restarted = next.addUnreadWorker("w1", { ...worker.entry, startedAtMs: ++bornMs });
        t.same(next.planStarts(), [], "the previous owner may have started the task there again");
        next.reportListing(restarted, [], []);
        t.equal(startOne(next)?.task.suspicion, 1);
    }
    t.end();
});

// Guards against blame for a worker of a previous owner that the next one has read: the run was done or never began.
t.test("a stored worker that answers the next owner counts nothing", t => {
    const harness = SchedulerHarness.create();
    const worker = addWorker(harness, "w1");
    harness.scheduler.noteLeaseExtension(worker);
    const spec = harness.submit({});
    const run = startOne(harness);
    harness.scheduler.noteUnreachable(worker);
    const job = harness.scheduler.jobs.get(spec.id);
    if (job !== undefined && run !== undefined) {
        const next = SchedulerHarness.create(2);
        next.inherit(spec, readProgress(job));
        next.scheduler.expectInheritedWorkers([worker.key]);
        const read = next.addUnreadWorker("w1", worker.entry);
        next.reportListing(
            read,
            [],
            [{ sequence: 1, task: run.task.name, number: run.number, kind: EndKind.Stopped, checkpoint: "" }],
        );
        t.equal(startOne(next)?.task.suspicion, 0);
    }
    t.end();
});

// Guards against members of a gang that are tried on one worker, or of which only some start.
t.test("a gang starts again with each suspected member on a worker of its own", t => {
    const harness = SchedulerHarness.create();
    const first = addWorker(harness, "w1");
    harness.scheduler.noteLeaseExtension(first);
    harness.submit({ count: 3, gang: true });
    t.equal(harness.planAndStartAll().length, 3);
    lose(harness, first);
    const [second, third] = ["w2", "w3"].map(id => addWorker(harness, id));
    t.same(harness.planStarts(), [], "two workers are not enough for three members");
    const fourth = addWorker(harness, "w4");
    const workers = [second, third, fourth].flatMap(worker => worker ?? []);
    heartbeat(harness, ...workers);
    t.equal(new Set(harness.planAndStartAll().map(({ worker }) => worker)).size, 3);
    t.end();
});

const crowdedGangs: [name: string, count: number, suspects: number, workers: number, perWorker: number][] = [
    ["the rest of the gang has no room beside the trials", 36, 5, 8, 9],
    ["more members are suspected than there are workers", 12, 6, 2, 16],
];

// Guards against a gang that never starts again after a crash, beside workers that have room for it.
for (const [name, count, suspects, workerCount, perWorker] of crowdedGangs) {
    t.test(`a gang starts again when ${name}`, t => {
        const harness = SchedulerHarness.create();
        const capacity = Resources.create({ processors: perWorker, memoryMb: 100_000 });
        const addLarge = (id: string): WorkerIncarnation =>
            harness.addWorker(id, { address: `${id}:1`, rack: id, startedAtMs: ++bornMs, capacity });
        const workers = Array.from({ length: workerCount }, (_, index) => addLarge(`w${index}`));
        heartbeat(harness, ...workers);
        const spec = harness.submit({
            count,
            gang: true,
            resources: Resources.create({ processors: 1, memoryMb: 1 }),
        });
        const tasks = [...(harness.scheduler.jobs.get(spec.id)?.tasks() ?? [])];
        tasks.slice(0, suspects).forEach(task => (task.suspicion = 1));
        const runs = planUntilStart(harness, workers, 3_000);
        t.equal(runs.length, count, "all members start");
        const used = new Map<WorkerIncarnation, number>();
        runs.forEach(({ worker }) => used.set(worker, (used.get(worker) ?? 0) + 1));
        t.ok(Math.max(...used.values()) <= perWorker, "within the workers' capacity");
        const trials = tasks.filter(task => task.trial !== undefined);
        t.equal(trials.length, Math.min(suspects, workerCount), "trials on workers of their own");
        t.end();
    });
}

// Guards against a gang of which one member never starts, because its trial was opened before its suspicion ended.
t.test("a gang starts with all members after the suspicion against one of them has ended", t => {
    const harness = SchedulerHarness.create();
    const workers = addWorkers(harness, 4);
    const spec = harness.submit({ count: 3, gang: true });
    const tasks = [...(harness.scheduler.jobs.get(spec.id)?.tasks() ?? [])];
    tasks.slice(0, 1).forEach(task => (task.suspicion = 1));
    harness.scheduler.plan();
    t.ok(tasks[0]?.trial, "its trial is open, and not stored");
    tasks[0]?.crashes.clear(harness.clock.nowMs());
    t.equal(planUntilStart(harness, workers, 3_000).length, 3);
    t.end();
});

// Guards against the trial of one job that runs beside tasks of another, which a crash would end as well.
t.test("a gang does not start beside a member of another gang on trial", t => {
    const harness = SchedulerHarness.create();
    const workers = [addWorker(harness, "w1")];
    heartbeat(harness, ...workers);
    const [first, second] = [1, 2].map(() => harness.submit({ count: 2, gang: true }));
    const tasksOf = (spec = first): Task[] => [
        ...(harness.scheduler.jobs.get(spec?.id ?? "")?.tasks() ?? []),
    ];
    [...tasksOf(first), ...tasksOf(second)].forEach(task => (task.suspicion = 1));
    const runs = planUntilStart(harness, workers, 3_000);
    t.equal(new Set(runs.map(({ task }) => task.step.occurrence.job)).size, 1);
    t.equal(runs.length, 2);
    t.same(planUntilStart(harness, workers, 3_000), [], "the other waits until the trial is over");
    t.end();
});

// Guards against the job of a caller who has cancelled it being shown as failed.
t.test("a cancelled job stays cancelled when its worker crashes", t => {
    const harness = SchedulerHarness.create();
    const worker = addWorker(harness, "w1");
    harness.scheduler.noteLeaseExtension(worker);
    const spec = harness.submit({});
    const run = startOne(harness);
    harness.scheduler.cancelJob(spec.id);
    lose(harness, worker);
    harness.planOrders();
    t.equal(harness.scheduler.jobs.get(spec.id)?.endState, JobState.Cancelled);
    t.equal(run?.task.suspicion, 0);
    t.end();
});

// Guards against tasks that stay suspected although half of the cell was lost at once: jobs of several tasks connect each
// lost worker with others, but no single job explains them all.
t.test("a loss of most of the cell excuses tasks whose jobs connect all of its workers", t => {
    const harness = SchedulerHarness.create();
    const names = ["w1", "w2", "w3", "w4"];
    const workers = names.map(name =>
        harness.addWorker(name, {
            address: `${name}:1`,
            rack: `r-${name}`,
            startedAtMs: ++bornMs,
            labels: [name],
        }),
    );
    workers.forEach(worker => harness.scheduler.noteLeaseExtension(worker));
    names.forEach((first, index) => {
        names.slice(index + 1).forEach(second => {
            harness.submit({ requiredLabel: first }, { requiredLabel: second });
        });
    });
    const tasks = harness.planAndStartAll().map(({ task }) => task);
    t.equal(tasks.length, 12);
    lose(harness, ...workers);
    harness.planOrders();
    t.ok(
        tasks.every(({ suspicion }) => suspicion === 1),
        "nothing is judged yet",
    );
    harness.clock.advance(UnprovenMs);
    harness.planOrders();
    t.same(
        tasks.map(({ suspicion }) => suspicion),
        tasks.map(() => 0),
    );
    t.end();
});

// Guards against innocent tasks that wait for minutes beside free workers because few of them are tried at a time.
t.test("load pattern: many innocent tasks are suspected after workers have crashed again and again", t => {
    const harness = SchedulerHarness.create();
    const workers = Array.from({ length: 12 }, (_, index) => addWorker(harness, `w${index}`));
    const spec = harness.submit({ count: 60 });
    for (const task of harness.scheduler.jobs.get(spec.id)?.tasks() ?? []) {
        task.suspicion = 1;
    }
    const openTrials = (): number => workers.filter(({ trialTask }) => trialTask !== undefined).length;
    harness.planAndStartAll();
    t.equal(openTrials(), 2, "nothing is known of them");
    for (let round = 0; round < 6; round++) {
        harness.clock.advance(500);
        heartbeat(harness, ...workers);
        for (const run of workers.flatMap(worker => [...worker.runs.values()])) {
            harness.reportEnd(run, EndKind.Done);
        }
        harness.planAndStartAll();
    }
    t.equal(openTrials(), 6, "their workers have survived them");
    t.end();
});
