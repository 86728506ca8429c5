import { mock } from "node:test";
import { ManualClock } from "@samphireward/core/manual-clock";
import { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { EndKind } from "@samphireward/jobs/end-kind";
import { hasStarted } from "@samphireward/jobs/has-started";
import { JobState } from "@samphireward/jobs/job-state";
import type { ListedEnd } from "@samphireward/jobs/listed-end";
import type { WorkerIncarnation } from "@samphireward/jobs/worker-incarnation";
import { Err, Ok } from "ts-results-es";
import t from "tap";
import { CommitLog } from "../src/commit-log.js";
import { jobCodec } from "../src/job-codec.js";
import { LostOwnership } from "../src/lost-ownership.js";
import { Metrics } from "../src/metrics.js";
import { ProgressWriter } from "../src/progress-writer.js";
import { StoreFailure } from "../src/store-failure.js";
import { withoutCheckpoints } from "../src/without-checkpoints.js";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import { plainStep } from "@samphireward/jobs/fixtures/plain-step";
import { ManualStore } from "./manual-store.js";
import { NullLog } from "./null-log.js";
import { oneTaskJob } from "./one-task-job.js";
import { oneWorker } from "./one-worker.js";
import { queueRule } from "@samphireward/jobs/fixtures/queue-rule";

const { id } = oneTaskJob;
const otherId = "00000000000000bb";
const TickMs = 500;
const RetentionMs = 10 * 60_000;
const CleanupIntervalMs = 30_000;

/** A cell whose only job has just ended on its only worker. */
const endedJob = (): { scheduler: CellScheduler; clock: ManualClock; worker: WorkerIncarnation } => {
    const clock = ManualClock.create(1_000);
    const scheduler = CellScheduler.create(1, clock, cellLimits);
    scheduler.setQueues([queueRule("queue")]);
    const worker = scheduler.registerWorker(oneWorker);
    const reportListing = (ended: Parameters<CellScheduler["noteListing"]>[1]["ended"]): void =>
        scheduler.noteListing(
            worker,
            { startedAtMs: 1, running: [], ended, isPartial: false },
            clock.nowMs(),
        );
    reportListing([]);
    scheduler.addJob(oneTaskJob);
    scheduler.plan();
    reportListing([{ sequence: 1, task: `${id}.0.0.0`, number: 1, kind: "done", checkpoint: "" }]);
    return { scheduler, clock, worker };
};

const createWriter = (
    store: ManualStore,
    cell: ReturnType<typeof endedJob>,
    lossReasons: string[],
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
        onLost: reason => lossReasons.push(reason),
    });
};

/** Answers other writes until one of progress is next. */
const answerUntilProgress = async (store: ManualStore): Promise<void> => {
    await new Promise(resolve => setImmediate(resolve));
    while (!store.isNextWriteUnder("cells/0/progress/")) {
        await store.answerNext();
    }
};

// Guards against an end that its worker discards before it is durable: the task would run a second time.
t.test("ends are acknowledged and final states reported only after their commit", async t => {
    const store = ManualStore.create();
    const cell = endedJob();
    const writer = createWriter(store, cell, []);
    const job = cell.scheduler.jobs.get(id);
    const first = writer.flush();
    const second = writer.flush();
    await new Promise(resolve => setImmediate(resolve));
    t.equal(
        cell.worker.lastDurableEndSequence,
        0,
        "a second write without changes does not overtake the first",
    );
    t.equal(job?.state, JobState.Running);
    while (!store.isNextWriteUnder("cells/0/progress/")) {
        await store.answerNext();
        t.equal(cell.worker.lastDurableEndSequence, 0, "another write does not contain the end");
    }
    await store.answerNext();
    t.equal(cell.worker.lastDurableEndSequence, 1);
    t.equal(job?.state, JobState.Completed);
    for (let left = 0; left < 4; left++) {
        await store.answerNext();
    }
    await Promise.all([first, second]);
});

// Guards against a crash that the next owner does not count: a suspected task started before its worker was stored.
t.test("a trial counts as stored once the progress that names its worker is durable", async t => {
    const store = ManualStore.create();
    const cell = endedJob();
    const { scheduler, worker } = cell;
    scheduler.addJob({ ...oneTaskJob, id: otherId });
    const task = scheduler.jobs.get(otherId)?.findTask(0, 0, 0);
    if (task !== undefined) {
        Object.assign(task, { lastRun: 1, suspicion: 1 });
    }
    t.strictSame(scheduler.plan(), [], "it waits for its trial to be stored");
    t.equal(task?.trial?.worker, worker);
    const written = createWriter(store, cell, []).flush();
    await answerUntilProgress(store);
    t.equal(task?.trial?.isStored, false);
    t.strictSame(scheduler.plan(), []);
    const writes = store.transactions.at(-1)?.writes ?? [];
    t.ok(writes.some(({ value }) => value.includes(`"suspectWorker":"${worker.key}"`)));
    await store.answerNext();
    await written;
    t.equal(scheduler.plan().length, 1);
});

// Guards against state that counts as durable although another owner has taken over the cell.
t.test("a commit that finds another owner's epoch acknowledges nothing", async t => {
    const store = ManualStore.create();
    const cell = endedJob();
    const lossReasons: string[] = [];
    const writer = createWriter(store, cell, lossReasons);
    void writer.flush();
    await new Promise(resolve => setImmediate(resolve));
    const current = [{ key: "cells/0/log", value: JSON.stringify({ epoch: 2, sequence: 0 }), revision: 9 }];
    await store.answerNext(Ok({ isCommitted: false, current }));
    t.equal(lossReasons.length, 1);
    t.equal(cell.worker.lastDurableEndSequence, 0);
});

// Guards against a start after an acknowledged end: the write after a failed one found no changes left, and counted the
// ends of the failed one as durable.
t.test("after a failed commit a later write acknowledges nothing", async t => {
    const store = ManualStore.create();
    const cell = endedJob();
    const writer = createWriter(store, cell, []);
    void writer.flush();
    const second = writer.flush();
    await new Promise(resolve => setImmediate(resolve));
    const current = [{ key: "cells/0/log", value: JSON.stringify({ epoch: 2, sequence: 0 }), revision: 9 }];
    for (let commits = 0; commits < 3; commits++) {
        await store.answerNext(Ok({ isCommitted: false, current }));
    }
    await second;
    t.equal(cell.worker.lastDurableEndSequence, 0);
    t.equal(cell.scheduler.jobs.get(id)?.state, JobState.Running);
});

// Guards against an end that is acknowledged too early: it is listed while the commit of an earlier one is under way, and
// that commit is retried.
t.test("an end that is listed during a commit waits for the next one", async t => {
    const store = ManualStore.create();
    const cell = endedJob();
    const writer = createWriter(store, cell, []);
    const first = writer.flush();
    await answerUntilProgress(store);
    cell.scheduler.addJob({ ...oneTaskJob, id: otherId });
    cell.scheduler.plan();
    const end: ListedEnd = {
        sequence: 2,
        task: `${otherId}.0.0.0`,
        number: 1,
        kind: EndKind.Done,
        checkpoint: "",
    };
    const listing = { startedAtMs: 1, running: [], ended: [end], isPartial: false };
    cell.scheduler.noteListing(cell.worker, listing, cell.clock.nowMs());
    const sent = store.transactions.length;
    await store.answerNext(Err(StoreFailure.Unknown));
    while (store.transactions.length === sent) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    await store.answerNext();
    await first;
    t.equal(cell.worker.lastDurableEndSequence, 1);
    const second = writer.flush();
    await answerUntilProgress(store);
    t.equal(cell.worker.lastDurableEndSequence, 1);
    await store.answerNext();
    await second;
    t.equal(cell.worker.lastDurableEndSequence, 2);
});

// Guards against a commit that is made twice, or counted as failed, because its first response was lost.
t.test("an unanswered commit is recognized by its sequence number when it is retried", async t => {
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

// Guards against a job that runs again ten minutes after its end: it was forgotten before its removal from the store was
// durable, so that a watch which read all input again found it, without its progress.
t.test("an expired job is forgotten only after its removal from the store is durable", async t => {
    const store = ManualStore.create();
    const cell = endedJob();
    const writer = createWriter(store, cell, []);
    const flushed = writer.flush();
    await answerUntilProgress(store);
    await store.answerNext();
    await flushed;
    const abort = new AbortController();
    mock.timers.enable({ apis: ["setTimeout"] });
    const done = writer.run(abort.signal);
    const isRemoving = (): boolean =>
        store.transactions.at(-1)?.removes?.includes(`cells/0/in/job/${id}`) === true;
    const advance = async (ms: number, answers: boolean): Promise<void> => {
        for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += TickMs) {
            cell.clock.advance(TickMs);
            mock.timers.tick(TickMs);
            await new Promise(resolve => setImmediate(resolve));
            if (answers && !isRemoving()) {
                await store.answerNext();
            }
        }
    };
    cell.clock.advance(RetentionMs);
    await advance(CleanupIntervalMs, true);
    t.ok(isRemoving());
    t.ok(cell.scheduler.jobs.get(id), "it is known while the removal is under way");
    await store.answerNext();
    t.ok(cell.scheduler.jobs.get(id), "and while reads from before it may arrive");
    await advance(CleanupIntervalMs, true);
    t.notOk(cell.scheduler.jobs.get(id));
    abort.abort();
    mock.timers.reset();
    await done;
});

// Guards against a cell whose commits the store refuses for good: the progress of one job, whose tasks have long
// checkpoints, is larger than the store's values may be.
t.test("progress that is too large for the store is written without checkpoints", async t => {
    const maxStoreValueBytes = 1_048_576;
    const store = ManualStore.create();
    const cell = endedJob();
    const writer = createWriter(store, cell, []);
    const spec = {
        ...oneTaskJob,
        id: otherId,
        steps: Array.from({ length: 64 }, () => ({ ...plainStep, count: 160 })),
    };
    cell.scheduler.inheritJob(spec, undefined);
    cell.scheduler.plan();
    const job = cell.scheduler.jobs.get(otherId);
    for (const task of job?.tasks() ?? []) {
        Object.assign(task, { lastRun: 11_003, checkpoint: "c".repeat(64) });
        task.failedRuns.add(11_001).add(11_002);
    }
    if (job !== undefined) {
        cell.scheduler.jobs.markChanged(job);
    }
    const flushed = writer.flush();
    await answerUntilProgress(store);
    const writes = store.transactions.flatMap(transaction => transaction.writes);
    const value = writes.find(({ key }) => key === `cells/0/progress/${otherId}`)?.value ?? "";
    t.ok(value.length <= maxStoreValueBytes, `${value.length} bytes`);
    const [occurrence] = jobCodec.decodeProgress(value)?.open ?? [];
    t.same(occurrence?.steps[0]?.marks[0]?.failedRuns, [11_001, 11_002]);
    await store.answerNext();
    await flushed;
});

// Guards against a cell that commits nothing any more: the store refuses a value that is too large, and the owner repeats the
// transaction for good, with all later commits behind it.
t.test("learned effects that are too large for a value are not written", async t => {
    const store = ManualStore.create();
    const cell = endedJob();
    const writer = createWriter(store, cell, []);
    const pairs = Array.from({ length: 600 }, (_, index) => [`${index}`.padStart(2_000, "i"), 1, 1] as const);
    cell.scheduler.effects.restore({ headrooms: {}, pairs: { web: pairs } });
    const flushed = writer.flush();
    await new Promise(resolve => setImmediate(resolve));
    await store.answerNext();
    await flushed;
    const keys = store.transactions.flatMap(({ writes }) => writes.map(({ key }) => key));
    t.strictSame(keys, ["cells/0/log", `cells/0/progress/${id}`]);
});

// Guards against a job that counts as waiting again, because all that showed its start was a checkpoint that was left out.
t.test("progress without checkpoints shows that the job has started", t => {
    const progress = withoutCheckpoints({
        endState: undefined,
        endedAtMs: 0,
        hasStarted: true,
        nextOccurrence: 1,
        open: [
            {
                number: 0,
                steps: [
                    { doneBits: "0", marks: [{ index: 0, failedRuns: [], lastRun: 1, checkpoint: "c" }] },
                ],
            },
        ],
    });
    t.ok(hasStarted(progress));
    t.end();
});
