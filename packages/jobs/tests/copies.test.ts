import { Resources } from "@samphireward/core/resources";
import t from "tap";
import { EndKind } from "../src/end-kind.js";
import { IgnoreReason } from "../src/ignore-reason.js";
import { JobState } from "../src/job-state.js";
import { OrderKind } from "../src/order-kind.js";
import { readProgress } from "../src/read-progress.js";
import { StartOutcome } from "../src/start-outcome.js";
import { StopReason } from "../src/stop-reason.js";
import { CopyCase } from "./copy-case.js";
import { SchedulerHarness } from "./scheduler-harness.js";

// Guards against a slow task that holds up its step, and against a copy beside its original in the same rack.
t.test("load pattern: the last task of a step is on a slow worker", t => {
    const { harness, original, startCopy, task } = CopyCase.create();
    const copy = startCopy();
    t.equal(copy.task, task);
    t.not(copy.worker, original.worker);
    t.equal(copy.worker.entry.rack, "far", "it starts in another rack");
    t.ok(copy.number > original.number, "run numbers rise");
    t.same(harness.planOrders(), [], "there is one copy, and neither run is stopped");
    t.end();
});

// Guards against duplicate runs of tasks whose step does not allow them.
t.test("steps that allow no copies get none", t => {
    const others = [{ speculative: false }, { gang: true }, { lasting: true }, { filler: true, image: "f" }];
    for (const step of others) {
        const { harness } = CopyCase.create(step);
        t.same(harness.planStarts(), [], JSON.stringify(step));
    }
    t.end();
});

// Guards against an end as done that is lost or done twice when either run of a task ends first.
t.test("the first end as done counts, and the other run is stopped", t => {
    for (const first of ["copy", "original"] as const) {
        const copyCase = CopyCase.create();
        const { harness, original, job, startCopy } = copyCase;
        const copy = startCopy();
        const [winner, loser] = first === "copy" ? [copy, original] : [original, copy];
        harness.clock.advance(100);
        harness.reportEnd(winner, EndKind.Done);
        t.equal(harness.scheduler.jobs.get(job)?.endState, JobState.Completed, first);
        t.match(harness.planOrders(), [
            { kind: OrderKind.Stop, number: loser.number, reason: StopReason.Unwanted },
        ]);
        harness.reportEnd(loser, EndKind.Done);
        t.match(harness.ignoredEnds.at(-1), { number: loser.number, reason: IgnoreReason.TaskDone });
        t.same(harness.planOrders(), [], "nothing starts afterwards");
        t.strictSame(
            copyCase.outcomes,
            ["started", first === "copy" ? "won" : "stopped"],
            "the copy is counted once",
        );
        t.ok(copyCase.wastedMs > 0, "the work of the other run is counted as wasted");
    }
    t.end();
});

// Guards against a task that is started a third time, or given up, because one of its two runs was lost.
t.test("the other run goes on when the worker of one is lost", t => {
    for (const lost of ["copy", "original"] as const) {
        const { harness, original, task, startCopy } = CopyCase.create();
        const copy = startCopy();
        const [gone, left] = lost === "copy" ? [copy, original] : [original, copy];
        harness.scheduler.registerWorker({ ...gone.worker.entry, startedAtMs: 2 });
        t.equal(task.run, left, lost);
        t.equal(task.copy, undefined);
        t.same(harness.planStarts(), []);
        harness.reportEnd(left, EndKind.Done);
        t.ok(task.isDone);
    }
    t.end();
});

// Guards against failures of copies that are not counted or counted twice, and against a job that a copy alone ends.
t.test("failed copies count as attempts, once per run number", t => {
    const { harness, original, task, job, startCopy } = CopyCase.create();
    const copy = startCopy();
    harness.reportEnd(copy, EndKind.Failed);
    t.strictSame([...task.failedRuns], [copy.number]);
    t.equal(task.run, original, "the original goes on");
    harness.clock.advance(1_000);
    t.same(harness.planStarts(), [], "there is no second copy");
    harness.reportEnd(original, EndKind.Failed);
    t.equal(harness.scheduler.jobs.get(job)?.endState, JobState.Failed);
    t.same(harness.planStarts(), []);
    t.end();
});

// Guards against a copy whose failure ends a job that would have been completed without it.
t.test("a task with one attempt left gets no copy", t => {
    const { harness, task } = CopyCase.create();
    task.failedRuns.add(1);
    t.same(harness.planStarts(), []);
    t.end();
});

// Guards against an original that waits for, or is stopped because of, a copy whose start was lost or refused.
t.test("a copy without an answer is stopped, and one that is refused is withdrawn", t => {
    const unknown = CopyCase.create();
    const { harness, original, task } = unknown;
    const copy = unknown.planCopy();
    harness.scheduler.responses.recordStart(copy, StartOutcome.Unknown);
    t.match(harness.planOrders(), [
        { kind: OrderKind.Stop, number: copy.number, reason: StopReason.NoAnswer },
    ]);
    harness.reportEnd(original, EndKind.Done);
    t.ok(task.isDone, "the original is done meanwhile");
    harness.clock.advance(600);
    t.match(harness.planOrders(), [
        { kind: OrderKind.Stop, number: copy.number, reason: StopReason.Unwanted },
    ]);

    const refused = CopyCase.create();
    const refusedCopy = refused.planCopy();
    refused.harness.scheduler.responses.recordStart(refusedCopy, StartOutcome.Refused);
    t.equal(refused.task.run, refused.original);
    t.equal(refused.task.readySinceMs, undefined, "the task does not wait");
    t.same(refused.harness.planOrders(), [], "it is not tried again at once");
    t.strictSame(refused.outcomes, ["started", "withdrawn"]);
    t.end();
});

// Guards against a start of the task beside a copy that a restarted worker may still carry out.
t.test("a copy's start without an answer is stopped in the next incarnation of its worker", t => {
    const { harness, original, task, planCopy } = CopyCase.create();
    const copy = planCopy();
    harness.scheduler.responses.recordStart(copy, StartOutcome.Unknown);
    const worker = harness.addWorker(copy.worker.entry.id, { ...copy.worker.entry, startedAtMs: 2 });
    t.match(harness.planOrders(), [
        { kind: OrderKind.Stop, worker, number: copy.number, reason: StopReason.LateStart },
    ]);
    harness.reportEnd(original, EndKind.Failed);
    harness.clock.advance(1_000);
    t.same(harness.planStarts(), [], "the task waits for the end of the late start");
    harness.scheduler.responses.recordStop(worker, task.name, copy.number);
    harness.clock.advance(1);
    harness.reportListing(worker, [], []);
    t.equal(harness.planStarts().length, 1, "and starts once the stop is confirmed");
    t.end();
});

// Guards against runs that a new owner starts once more, or an end as done that it loses, in whatever order it reads.
t.test("the next owner takes up both runs", t => {
    for (const order of [
        [0, 1],
        [1, 0],
    ] as const) {
        const before = CopyCase.create();
        const copy = before.startCopy();
        const job = before.harness.scheduler.jobs.get(before.job);
        const next = SchedulerHarness.create(2);
        next.inherit(before.spec, job && readProgress(job));
        const runs = order.map(index => (index === 0 ? before.original : copy));
        next.scheduler.expectInheritedWorkers(runs.map(({ worker }) => worker.key));
        const workers = runs.map(({ worker }) => next.addUnreadWorker(worker.entry.id, worker.entry));
        runs.forEach((run, index) => {
            const worker = workers[index];
            if (worker !== undefined) {
                t.same(next.planOrders(), [], "nothing starts before all workers are read");
                next.reportListing(worker, [SchedulerHarness.listedRun(run)], []);
            }
        });
        t.same(next.planOrders(), [], "both runs continue");
        const task = next.scheduler.jobs.findListedTask(before.task.name);
        t.strictSame(
            [task?.run?.number, task?.copy?.number],
            runs.map(({ number }) => number),
        );
        t.equal(task?.lastRun, copy.number, "later runs get higher numbers");
        const last = task?.copy;
        if (last !== undefined) {
            next.reportEnd(last, EndKind.Done);
        }
        t.match(next.planOrders(), [{ kind: OrderKind.Stop, reason: StopReason.Unwanted }]);
        t.equal(next.scheduler.jobs.get(before.job)?.endState, JobState.Completed);
    }
    t.end();
});

// Guards against two runs of one task beside the unread runs of a previous owner.
t.test("a job whose stored state is not known gets no copy", t => {
    const harness = SchedulerHarness.create(2);
    const spec = harness.makeJob({ speculative: true, count: 4 });
    harness.inherit(spec);
    const near = harness.addUnreadWorker("near");
    const unread = harness.addUnreadWorker("unread");
    harness.addWorker("far");
    harness.scheduler.expectInheritedWorkers([near.key, unread.key]);
    for (const percents of [
        [0, 0, 0, 0],
        [80, 80, 80, 5],
    ]) {
        const running = percents.map((progressPercent, index) => ({
            task: `${spec.id}.0.0.${index}`,
            number: 1,
            checkpoint: "",
            progressPercent,
            gauge: 0,
        }));
        harness.reportListing(near, running, []);
        harness.clock.advance(1_000);
    }
    t.same(harness.planStarts(), []);
    harness.reportListing(unread, [], []);
    harness.clock.advance(600);
    t.match(harness.planStarts(), [{ isCopy: true }], "it gets one once all workers are read");
    t.end();
});

// Guards against tasks that wait because copies have taken the capacity.
t.test("load pattern: work arrives for which only the copy's capacity is left", t => {
    const { harness, original, startCopy } = CopyCase.create();
    const copy = startCopy();
    harness.submit({ count: 3, resources: Resources.create({ processors: 16, memoryMb: 10 }) });
    harness.planAndStartAll();
    const stops = harness.planOrders().concat(harness.planOrders());
    t.equal(copy.stopReason, StopReason.Preempted);
    t.equal(original.stopReason, undefined);
    t.ok(stops.length <= 1);
    t.end();
});

// Guards against a copy on capacity that a task of another step waits for.
t.test("load pattern: a larger task waits for a worker", t => {
    const { harness } = CopyCase.create();
    const processors = (count: number): Resources => Resources.create({ processors: count, memoryMb: 10 });
    harness.submit({ resources: processors(9), count: 3, maxPerWorker: 1 });
    const { id } = harness.submit({ resources: processors(16) });
    const started = harness.planAndStartAll();
    t.equal(started.filter(({ isCopy }) => !isCopy).length, 3, "the larger task waits");
    t.equal(started.length, 3, "no copy takes what it waits for");
    harness.scheduler.cancelJob(id);
    harness.clock.advance(600);
    t.match(harness.planStarts(), [{ isCopy: true }]);
    t.end();
});

// Guards against a copy of a task that is long by itself, which would run as long as its original.
t.test("load pattern: a task takes seven times as long wherever it runs", t => {
    const { harness, original, startCopy, report } = CopyCase.create();
    const copy = startCopy();
    harness.clock.advance(1_500);
    report(original, 40);
    report(copy, 10);
    t.match(harness.planOrders(), [{ kind: OrderKind.Stop, number: copy.number, reason: StopReason.Behind }]);
    t.end();
});

// Guards against checkpoints of a copy that replace those of its original, which is further along.
t.test("the checkpoint of the run that is further along counts", t => {
    const { harness, original, task, startCopy, report } = CopyCase.create({ checkpoints: true });
    report(original, 20, "at 20");
    const copy = startCopy();
    harness.clock.advance(400);
    report(copy, 5, "at 5");
    t.equal(task.checkpoint, "at 20");
    harness.clock.advance(400);
    report(copy, 60, "at 60");
    t.equal(task.checkpoint, "at 60");
    harness.reportEnd(original, EndKind.Stopped, "at 25");
    t.equal(task.checkpoint, "at 60");
    t.equal(task.run, copy);
    t.end();
});

// Guards against the failure of a third run that is not counted as an attempt, so that the task starts too often.
t.test("a failure of a third run that the next owner found counts as an attempt", t => {
    const before = CopyCase.create();
    const listed = SchedulerHarness.listedRun(before.startCopy());
    const job = before.harness.scheduler.jobs.get(before.job);
    const next = SchedulerHarness.create(2);
    next.inherit(before.spec, job && readProgress(job));
    const workers = ["near", "near2", "far"].map(id => next.addUnreadWorker(id));
    next.scheduler.expectInheritedWorkers(workers.map(({ key }) => key));
    workers.forEach((worker, index) => {
        next.reportListing(worker, [{ ...listed, number: index + 1 }], []);
    });
    const [, second, third] = workers.map(worker => worker.runs.get(listed.task));
    t.equal(third?.stopReason, StopReason.NotCurrent);
    if (second !== undefined && third !== undefined) {
        next.reportEnd(third, EndKind.Failed);
        t.strictSame([...third.task.failedRuns], [third.number]);
        next.reportEnd(second, EndKind.Failed);
    }
    t.equal(next.scheduler.jobs.get(before.job)?.endState, JobState.Failed);
    t.end();
});

// Guards against durations that pile up while the tasks of a lasting step end as done and start again.
t.test("durations of a lasting step are not kept", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("worker");
    harness.submit({ speculative: true, lasting: true });
    for (let count = 0; count < 3; count++) {
        const [run] = harness.planAndStartAll();
        t.ok(run);
        if (run !== undefined) {
            harness.reportEnd(run, EndKind.Done);
            t.same(run.task.step.doneDurationsMs, []);
        }
        harness.clock.advance(2_000);
    }
    t.end();
});

// Guards against checkpoints of the original that are dropped because a copy without one had been further along.
t.test("the end of a copy without a checkpoint does not keep those of the original from counting", t => {
    const { harness, original, task, startCopy, report } = CopyCase.create({ checkpoints: true });
    const copy = startCopy();
    harness.clock.advance(400);
    report(copy, 60);
    harness.reportEnd(copy, EndKind.Failed);
    harness.clock.advance(400);
    report(original, 30, "at 30");
    t.equal(task.checkpoint, "at 30");
    t.end();
});

// Guards against copies that are stopped for a reading that was taken before they were at full speed.
t.test("a copy is compared with its original by its last reading", t => {
    const { harness, original, startCopy, report } = CopyCase.create();
    const copy = startCopy();
    harness.clock.advance(400);
    report(original, 15);
    report(copy, 2);
    harness.clock.advance(800);
    t.same(harness.planOrders(), [], "the reading is too old");
    report(copy, 50);
    t.same(harness.planOrders(), [], "the copy is faster");
    t.end();
});

// Guards against a copy that is stopped after a take-over, since its original seems to have just started.
t.test("the next owner does not compare runs whose start it does not know", t => {
    const before = CopyCase.create();
    const runs = [before.original, before.startCopy()];
    const job = before.harness.scheduler.jobs.get(before.job);
    const next = SchedulerHarness.create(2);
    next.inherit(before.spec, job && readProgress(job));
    const workers = runs.map(({ worker }) => next.addUnreadWorker(worker.entry.id, worker.entry));
    next.scheduler.expectInheritedWorkers(workers.map(({ key }) => key));
    for (const percents of [
        [50, 30],
        [51, 45],
    ]) {
        workers.forEach((worker, index) => {
            const listed = runs.slice(index, index + 1).map(SchedulerHarness.listedRun);
            next.reportListing(
                worker,
                listed.map(run => ({ ...run, progressPercent: percents[index] ?? 0 })),
                [],
            );
        });
        next.clock.advance(1_100);
    }
    workers.forEach((worker, index) => {
        const listed = runs.slice(index, index + 1).map(SchedulerHarness.listedRun);
        next.reportListing(
            worker,
            listed.map(run => ({ ...run, progressPercent: [52, 50][index] ?? 0 })),
            [],
        );
    });
    t.same(next.planOrders(), []);
    t.end();
});

// Guards against a search for slow tasks that takes the owner's time when no worker has room for their copies.
t.test("load pattern: hundreds of slow tasks have no worker for a copy", t => {
    const harness = SchedulerHarness.create();
    const near = harness.addWorker("near", {
        capacity: Resources.create({ processors: 100, memoryMb: 10_000 }),
    });
    const resources = Resources.create({ processors: 0.1, memoryMb: 1 });
    harness.submit({ speculative: true, count: 300, resources });
    const runs = harness.planAndStartAll();
    const other = harness.addWorker("other");
    other.avoidUntilMs = Infinity;
    const report = (percentOf: (index: number) => number): void => {
        const rows = runs.map(run => ({
            ...SchedulerHarness.listedRun(run),
            progressPercent: percentOf(run.task.index),
        }));
        harness.reportListing(near, rows, []);
    };
    report(() => 0);
    harness.clock.advance(2_000);
    report(index => (index < 200 ? 80 : 5));
    let searches = 0;
    const hasCapacityFor = other.hasCapacityFor.bind(other);
    other.hasCapacityFor = step => {
        searches++;
        return hasCapacityFor(step);
    };
    harness.clock.advance(600);
    t.same(harness.planStarts(), []);
    // A search for the migration of the slow runs asks as well.
    t.ok(searches > 0 && searches <= 10, `${searches} searches for 100 slow tasks`);
    other.avoidUntilMs = 0;
    harness.clock.advance(600);
    t.match(harness.planStarts(), [{ isCopy: true }], "a copy starts once a worker has room");
    t.end();
});

// Guards against a log line for each member of a speculative gang, which is done with the first of them.
t.test("the ends of all members of a gang are applied as those of current runs", t => {
    const { harness, original } = CopyCase.create({ gang: true });
    for (const { run } of original.task.step.tasks) {
        if (run !== undefined) {
            harness.reportEnd(run, EndKind.Done);
        }
    }
    t.same(harness.ignoredEnds, []);
    t.end();
});

// Guards against two runs of a task that both stay in a data centre that is being evacuated.
t.test("a task moves out of a data centre that has both of its runs", t => {
    const { harness, original, startCopy, report } = CopyCase.create({
        checkpoints: true,
        estimatedMs: 20_000,
    });
    const copy = startCopy();
    report(original, 10, "at 10");
    report(copy, 5, "at 5");
    const elsewhere = harness.addWorker("elsewhere", { zone: "elsewhere" });
    harness.scheduler.setEvacuated(new Set(["zone"]));
    for (const run of [original, copy]) {
        t.match(harness.planOrders(), [{ number: run.number, reason: StopReason.Evacuated }]);
        harness.reportEnd(run, EndKind.Stopped, "at 10");
    }
    t.match(harness.planStarts(), [{ worker: elsewhere }]);
    t.end();
});
