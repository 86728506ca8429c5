import { setImmediate } from "node:timers/promises";
import { ManualClock } from "@samphireward/core/manual-clock";
import { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import { maxLeaseDurationMs } from "@samphireward/jobs/max-lease-duration-ms";
import { workerKey } from "@samphireward/jobs/worker-key";
import t from "tap";
import { CommitLog } from "../src/commit-log.js";
import { rosterCodec } from "../src/roster-codec.js";
import type { Roster } from "../src/roster.js";
import { RosterWriter } from "../src/roster-writer.js";
import { ManualStore } from "./manual-store.js";
import { NullLog } from "./null-log.js";
import { oneWorker } from "./one-worker.js";

/** A writer of the owner with epoch 2, whose commits the store answers one by one. */
const createWriter = (): {
    readonly store: ManualStore;
    readonly scheduler: CellScheduler;
    readonly commits: CommitLog;
    readonly writer: RosterWriter;
    /** Writes the roster and returns its stored form. */
    readonly write: () => Promise<Roster | undefined>;
} => {
    const store = ManualStore.create();
    const scheduler = CellScheduler.create(2, ManualClock.create(1_000), cellLimits);
    const { signal } = new AbortController();
    const commits = CommitLog.create(store, 0, { epoch: 2, sequence: 0 }, 1, signal);
    const writer = RosterWriter.create({ cell: 0, epoch: 2, scheduler, commits, log: NullLog.create() });
    const write = async (): Promise<Roster | undefined> => {
        const written = writer.write();
        await setImmediate();
        await store.answerNext();
        await written;
        const value = store.transactions.at(-1)?.writes.find(({ key }) => key === "cells/0/roster")?.value;
        return value === undefined ? undefined : rosterCodec.decode(value);
    };
    return { store, scheduler, commits, writer, write };
};

/** Time for which the scheduler takes the lease of a worker that it has just read. */
const leaseAfterListingMs = (scheduler: CellScheduler): number => {
    const worker = scheduler.registerWorker(oneWorker);
    const { startedAtMs } = oneWorker;
    scheduler.noteListing(worker, { startedAtMs, running: [], ended: [], isPartial: false }, 1_000);
    return worker.leaseEndsAtMs - 1_000;
};

const key = workerKey(oneWorker);
const { leaseMs } = cellLimits;

// Guards against a new owner that relies on leases which an owner in between has extended, and against lasting tasks that
// wait for the longest lease although the previous owner has stored the leases that it granted.
t.test("stored leases count if the previous owner has written them", t => {
    const table: [name: string, roster: Roster | undefined, leaseMs: number][] = [
        ["by the previous owner", { lives: [key], leaseMs, leasesMs: new Map(), epoch: 1 }, leaseMs],
        [
            "by an earlier owner",
            { lives: [key], leaseMs, leasesMs: new Map(), epoch: 0 },
            cellLimits.maxLeaseMs,
        ],
        [
            "by an older build",
            { lives: [key], leaseMs, leasesMs: undefined, epoch: undefined },
            cellLimits.maxLeaseMs,
        ],
        ["no roster", undefined, leaseMs],
    ];
    for (const [name, roster, longestLeaseMs] of table) {
        const { scheduler, writer } = createWriter();
        writer.restore(roster);
        t.equal(leaseAfterListingMs(scheduler), maxLeaseDurationMs(longestLeaseMs), name);
    }
    t.end();
});

// Guards against a second change of owner after which the longest lease is counted, or a lease that is over by then.
t.test("the roster is written after a change of owner, and when a long lease is over", async t => {
    const { scheduler, writer, write } = createWriter();
    t.notOk(writer.isOutdated);
    writer.restore({ lives: [key], leaseMs, leasesMs: new Map([[key, 6_000]]), epoch: 1 });
    t.ok(writer.isOutdated, "it is the one of the previous owner");
    leaseAfterListingMs(scheduler);
    t.match(await write(), { lives: [key], epoch: 2, leasesMs: new Map([[key, 6_000]]) });
    t.notOk(writer.isOutdated);
    const worker = scheduler.fleet.get(oneWorker.id);
    if (worker !== undefined) {
        worker.leaseEndsAtMs = 2_000;
    }
    t.ok(writer.isOutdated, "the lease is over soon");
    t.equal((await write())?.leasesMs?.size, 0);
    t.notOk(writer.isOutdated);
    t.end();
});

// Guards against a task that runs twice: the next owner relies on the stored end of a lease that this owner extends.
t.test("the lease of a silent worker is not extended until the roster no longer names it", async t => {
    const { store, scheduler, writer, write } = createWriter();
    writer.restore(undefined);
    leaseAfterListingMs(scheduler);
    const worker = scheduler.fleet.get(oneWorker.id);
    if (worker === undefined) {
        throw new Error("expected the worker");
    }
    await write();
    t.notOk(writer.isOutdated);
    scheduler.noteUnreachable(worker);
    t.ok(writer.isOutdated, "it is silent now");
    const written = writer.write();
    await setImmediate();
    t.notOk(worker.mayExtendLease, "the store may have the roster already");
    await store.answerNext();
    await written;
    t.notOk(writer.isOutdated);
    t.notOk(writer.blockUnlistedWorkers(), "nothing to write while it is silent");
    leaseAfterListingMs(scheduler);
    t.notOk(worker.mayExtendLease, "the stored roster names it");
    t.ok(writer.blockUnlistedWorkers(), "it answers again");
    const writtenAgain = writer.write();
    t.notOk(worker.mayExtendLease, "the write is not durable");
    await setImmediate();
    await store.answerNext();
    await writtenAgain;
    t.ok(worker.mayExtendLease);
    t.notOk(writer.blockUnlistedWorkers());
    t.end();
});

// Guards against runs that end because the store is down: their worker missed one heartbeat, and its lease was not
// extended any more although the roster that names it as silent had not been sent.
t.test("the lease of a silent worker is extended until a roster that names it is sent", async t => {
    const { store, scheduler, commits, writer, write } = createWriter();
    writer.restore(undefined);
    leaseAfterListingMs(scheduler);
    await write();
    const worker = scheduler.fleet.get(oneWorker.id);
    if (worker === undefined) {
        throw new Error("expected the worker");
    }
    const earlier = commits.commit({ writes: [] });
    scheduler.noteUnreachable(worker);
    const written = writer.write();
    await setImmediate();
    leaseAfterListingMs(scheduler);
    t.ok(worker.mayExtendLease, "the write waits for an earlier one");
    scheduler.noteUnreachable(worker);
    await store.answerNext();
    await earlier;
    t.notOk(worker.mayExtendLease, "it was sent");
    await store.answerNext();
    t.ok((await written).isOk());
    t.end();
});

// Guards against leases that no owner extends for the time of two writes after a change of owner: a new worker has to be
// listed before the others had the time to answer, and these counted as silent.
t.test("a roster for a new worker names no further workers as silent", async t => {
    const { store, scheduler, writer } = createWriter();
    writer.restore({ lives: [key], leaseMs, leasesMs: new Map(), epoch: 1 });
    const unread = scheduler.registerWorker(oneWorker);
    const added = scheduler.registerWorker({ ...oneWorker, id: "added" });
    const { startedAtMs } = oneWorker;
    scheduler.noteListing(added, { startedAtMs, running: [], ended: [], isPartial: false }, 1_000);
    t.ok(writer.blockUnlistedWorkers());
    const written = writer.write({ addsSilent: false });
    await setImmediate();
    leaseAfterListingMs(scheduler);
    t.ok(unread.mayExtendLease);
    await store.answerNext();
    await written;
    t.notOk(writer.blockUnlistedWorkers(), "nothing is left to write");
    t.notOk(added.isStartBlocked || unread.isLeaseFrozen);
    t.end();
});

// Guards against a next owner that waits for a whole lease of a worker that has been silent for seconds, and against a
// write that costs each planned stop a call of the store.
t.test("a planned stop stores the remaining leases of silent workers", async t => {
    const { store, scheduler, writer, write } = createWriter();
    writer.restore(undefined);
    leaseAfterListingMs(scheduler);
    await write();
    await writer.writeFinal();
    t.equal(store.transactions.length, 1, "no worker is silent");
    const worker = scheduler.fleet.get(oneWorker.id);
    if (worker !== undefined) {
        scheduler.noteUnreachable(worker);
    }
    const written = writer.writeFinal();
    await setImmediate();
    await store.answerNext();
    await written;
    const value = store.transactions.at(-1)?.writes.find(({ key: name }) => name === "cells/0/roster")?.value;
    t.match(value && rosterCodec.decode(value), { epoch: 2, lives: [key] });
    t.ok(value?.includes(`"leasesMs":{"${key}":`));
    t.end();
});

// Guards against a roster that is written with each plan although a worker that has ended is not to be listed.
t.test("no roster is written for a worker that has ended", async t => {
    const { scheduler, writer, write } = createWriter();
    writer.restore(undefined);
    leaseAfterListingMs(scheduler);
    const worker = scheduler.fleet.get(oneWorker.id);
    if (worker !== undefined) {
        worker.isLost = true;
    }
    t.strictSame((await write())?.lives, []);
    t.notOk(writer.blockUnlistedWorkers());
    t.notOk(writer.isOutdated);
    t.end();
});

// Guards against starts on a worker that the roster lacks, and against plans that list the keys of all workers anew.
t.test("a worker is blocked until a roster that lists it is durable", async t => {
    const { store, scheduler, writer } = createWriter();
    writer.restore({ lives: ["old/1"], leaseMs: cellLimits.leaseMs, leasesMs: undefined, epoch: undefined });
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
