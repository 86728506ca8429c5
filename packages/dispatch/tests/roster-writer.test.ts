import { setImmediate } from "node:timers/promises";
import { ManualClock } from "@samphireward/core/manual-clock";
import { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import t from "tap";
import { CommitLog } from "../src/commit-log.js";
import { RosterWriter } from "../src/roster-writer.js";
import { ManualStore } from "./manual-store.js";
import { NullLog } from "./null-log.js";
import { oneWorker } from "./one-worker.js";

// Guards against starts on a worker that the roster lacks, and against plans that list the keys of all workers anew.
t.test("a worker is blocked until a roster that lists it is durable", async t => {
    const store = ManualStore.create();
    const scheduler = CellScheduler.create(2, ManualClock.create(1_000), cellLimits);
    const { signal } = new AbortController();
    const commits = CommitLog.create(store, 0, { epoch: 2, sequence: 0 }, 1, signal);
    const writer = RosterWriter.create({ cell: 0, scheduler, commits, log: NullLog.create() });
    writer.restore({ lives: ["old/1"], leaseMs: cellLimits.leaseMs });
    t.notOk(writer.blockUnlistedWorkers(), "the stored roster lists the workers of the previous owner");
    const worker = scheduler.registerWorker(oneWorker);
    const keyLists = t.intercept(scheduler, "workerKeysToRead", { value: [...scheduler.workerKeysToRead] });
    t.ok(writer.blockUnlistedWorkers(), "the new worker has to be listed");
    t.ok(worker.isStartBlocked);
    t.equal(keyLists().length, 0, "the keys are not listed for a plan");
    const written = writer.write();
    t.notOk(writer.blockUnlistedWorkers(), "one write at a time");
    t.ok(worker.isStartBlocked, "until the write is durable");
    await setImmediate();
    await store.answerNext();
    t.ok((await written).isOk());
    t.notOk(writer.blockUnlistedWorkers());
    t.notOk(worker.isStartBlocked);
    t.end();
});
