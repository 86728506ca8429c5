import { ManualClock } from "@samphireward/core/manual-clock";
import { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { JobState } from "@samphireward/jobs/job-state";
import type { WorkerIncarnation } from "@samphireward/jobs/worker-incarnation";
import { Err, Ok } from "ts-results-es";
import t from "tap";
import { CommitLog } from "../src/commit-log.js";
import { LostOwnership } from "../src/lost-ownership.js";
import { Metrics } from "../src/metrics.js";
import { ProgressWriter } from "../src/progress-writer.js";
import { StoreFailure } from "../src/store-failure.js";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import { ManualStore } from "./manual-store.js";
import { NullLog } from "./null-log.js";
import { oneTaskJob } from "./one-task-job.js";
import { oneWorker } from "./one-worker.js";
import { queueRule } from "@samphireward/jobs/fixtures/queue-rule";

const { id } = oneTaskJob;

/** A cell whose only job has just ended on its only worker. */
const endedJob = (): { scheduler: CellScheduler; clock: ManualClock; life: WorkerIncarnation } => {
    const clock = ManualClock.create(1_000);
    const scheduler = CellScheduler.create(1, clock, cellLimits);
    scheduler.setQueues([queueRule("queue")]);
    const life = scheduler.registerWorker(oneWorker);
    const list = (ended: Parameters<CellScheduler["noteListing"]>[1]["ended"]): void =>
        scheduler.noteListing(life, { startedAtMs: 1, running: [], ended, isPartial: false }, clock.nowMs());
    list([]);
    scheduler.addJob(oneTaskJob);
    scheduler.plan();
    list([{ sequence: 1, task: `${id}.0.0.0`, number: 1, kind: "done", checkpoint: "" }]);
    return { scheduler, clock, life };
};

const createWriter = (
    store: ManualStore,
    cell: ReturnType<typeof endedJob>,
    lost: string[],
): ProgressWriter => {
    const abort = new AbortController();
    const record = { epoch: 1, sequence: 0 };
    return ProgressWriter.create({
        cell: 0,
        scheduler: cell.scheduler,
        commits: CommitLog.create(store, 0, record, 1, abort.signal),
        clock: cell.clock,
        log: NullLog.create(),
        metrics: Metrics.create(),
        onLost: reason => lost.push(reason),
    });
};

// Guards against an end that its worker forgets before the store has it: the task would run a second time.
t.test("ends are acknowledged and final states shown only after the commit that holds them", async t => {
    const store = ManualStore.create();
    const cell = endedJob();
    const writer = createWriter(store, cell, []);
    const job = cell.scheduler.jobs.get(id);
    const first = writer.flush();
    const second = writer.flush();
    await new Promise(resolve => setImmediate(resolve));
    t.equal(
        cell.life.lastDurableEndSequence,
        0,
        "a second write without changes does not overtake the first",
    );
    t.equal(job?.state, JobState.Running);
    while (!store.isNextWriteUnder("cells/0/progress/")) {
        await store.answerNext();
        t.equal(cell.life.lastDurableEndSequence, 0, "another write is not the one that holds it");
    }
    await store.answerNext();
    t.equal(cell.life.lastDurableEndSequence, 1);
    t.equal(job?.state, JobState.Completed);
    for (let left = 0; left < 4; left++) {
        await store.answerNext();
    }
    await Promise.all([first, second]);
});

// Guards against state that is taken for durable although another owner has the cell.
t.test("a commit that finds another owner's epoch acknowledges nothing", async t => {
    const store = ManualStore.create();
    const cell = endedJob();
    const lost: string[] = [];
    const writer = createWriter(store, cell, lost);
    void writer.flush();
    await new Promise(resolve => setImmediate(resolve));
    const current = [{ key: "cells/0/log", value: JSON.stringify({ epoch: 2, sequence: 0 }), revision: 9 }];
    await store.answerNext(Ok({ isCommitted: false, current }));
    t.equal(lost.length, 1);
    t.equal(cell.life.lastDurableEndSequence, 0);
});

// Guards against a commit that is made twice, or counted as lost, because its first answer was lost.
t.test("a commit without an answer is recognised by its number when it is tried again", async t => {
    const store = ManualStore.create();
    const abort = new AbortController();
    const commits = CommitLog.create(store, 0, { epoch: 1, sequence: 0 }, 1, abort.signal);
    const made = commits.commit({ writes: [{ key: "a", value: "1" }] });
    await new Promise(resolve => setImmediate(resolve));
    await store.answerNext(Err(StoreFailure.Unknown));
    while (store.transactions.length < 2) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    const current = [{ key: "cells/0/log", value: JSON.stringify({ epoch: 1, sequence: 1 }), revision: 5 }];
    await store.answerNext(Ok({ isCommitted: false, current }));
    t.ok((await made).isOk());
    const next = commits.commit({ writes: [] });
    await new Promise(resolve => setImmediate(resolve));
    t.same(store.transactions[2]?.expected, [{ key: "cells/0/log", revision: 5 }]);
    await store.answerNext(Ok({ isCommitted: false, current: [] }));
    t.equal((await next).isErr() ? (await next).unwrapErr() : undefined, LostOwnership);
});
