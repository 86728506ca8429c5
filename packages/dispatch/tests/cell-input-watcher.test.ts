import { ManualClock } from "@samphireward/core/manual-clock";
import { JobRegistry } from "@samphireward/jobs/job-registry";
import { Err, Ok } from "ts-results-es";
import t from "tap";
import { CellInputWatcher } from "../src/cell-input-watcher.js";
import { jobCodec } from "../src/job-codec.js";
import type { StoreChange } from "../src/store-change.js";
import { StoreFailure } from "../src/store-failure.js";
import { ManualStore } from "./manual-store.js";
import { NullLog } from "./null-log.js";
import { oneTaskJob } from "./one-task-job.js";

// Guards against a lost cancellation: after a compaction of the history everything is read again, and the keys of
// cancellations sort before those of jobs.
t.test("a job is reported before its cancellation when both are read together", async t => {
    const store = ManualStore.create();
    const { id } = oneTaskJob;
    store.watchFailure = StoreFailure.Compacted;
    store.items = [
        { key: `cells/3/in/cancel/${id}`, value: "", revision: 6 },
        { key: `cells/3/in/job/${id}`, value: jobCodec.encodeJob(oneTaskJob), revision: 5 },
        { key: "cells/30/in/job/other", value: "", revision: 5 },
    ];
    const reported: string[] = [];
    const abort = new AbortController();
    const input = CellInputWatcher.create({
        cell: 3,
        epoch: 1,
        store,
        clock: ManualClock.create(1_000),
        log: NullLog.create(),
        jobs: JobRegistry.create(),
        onJob: text => reported.push(`job ${jobCodec.decodeJob(text)?.id ?? "unreadable"}`),
        onTombstone: () => t.fail("there is no tombstone"),
        onCancellation: cancelled => {
            reported.push(`cancellation ${cancelled}`);
            abort.abort();
        },
        onTakeover: epoch => t.fail(`epoch ${epoch} has not taken over`),
    });
    await input.run(abort.signal, 1);
    t.same(reported.slice(0, 2), [`job ${id}`, `cancellation ${id}`]);
});

/** Runs a watcher of epoch 2 over changes that it reads one by one, and returns what it reports. */
const reportsOf = async (changes: readonly StoreChange[]): Promise<readonly string[]> => {
    const store = ManualStore.create();
    const reported: string[] = [];
    const abort = new AbortController();
    let next = 0;
    store.watch = () => {
        const change = changes[next++];
        if (change === undefined) {
            abort.abort();
            return Promise.resolve(Err(StoreFailure.NotDone));
        }
        return Promise.resolve(Ok({ changes: [change], revision: change.revision, transferMs: 0 }));
    };
    const input = CellInputWatcher.create({
        cell: 0,
        epoch: 2,
        store,
        clock: ManualClock.create(1_000),
        log: NullLog.create(),
        jobs: JobRegistry.create(),
        onJob: () => reported.push("job"),
        onTombstone: () => reported.push("tombstone"),
        onCancellation: () => reported.push("cancellation"),
        onTakeover: epoch => reported.push(`takeover ${epoch}`),
    });
    await input.run(abort.signal, 1);
    return reported;
};

// Guards against jobs that two owners start: one that has been replaced, and does not know it yet, sees jobs which arrive
// after the takeover, and which the next owner starts without waiting for what its predecessors left.
t.test("a job that is stored after a takeover is not reported to the previous owner", async t => {
    const job = { key: `cells/0/in/job/${oneTaskJob.id}`, value: jobCodec.encodeJob(oneTaskJob) };
    const cancellation = { key: `cells/0/in/cancel/${oneTaskJob.id}`, value: "" };
    const tombstone = { key: job.key, value: jobCodec.encodeTombstone({ cancelledAtMs: 1 }) };
    const takeover = (epoch: number): Pick<StoreChange, "key" | "value"> => ({
        key: "cells/0/in/takeover",
        value: JSON.stringify({ epoch }),
    });
    const table: [name: string, keys: readonly Pick<StoreChange, "key" | "value">[], reported: string[]][] = [
        ["a job before the takeover", [job, takeover(3)], ["job", "takeover 3"]],
        ["a job after it", [takeover(3), job, cancellation], ["takeover 3"]],
        ["two takeovers", [takeover(3), takeover(4)], ["takeover 3"]],
        ["a tombstone in place of a job", [tombstone], ["tombstone"]],
        ["its own takeover", [takeover(2), job], ["job"]],
        ["an unreadable entry", [{ ...takeover(3), value: "{" }, job], ["job"]],
    ];
    for (const [name, keys, reported] of table) {
        const changes = keys.map((each, index) => ({ ...each, revision: index + 2 }));
        t.same(await reportsOf(changes), reported, name);
    }
});
