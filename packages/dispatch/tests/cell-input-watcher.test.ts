import { ManualClock } from "@samphireward/core/manual-clock";
import { JobRegistry } from "@samphireward/jobs/job-registry";
import t from "tap";
import { CellInputWatcher } from "../src/cell-input-watcher.js";
import { jobCodec } from "../src/job-codec.js";
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
        store,
        clock: ManualClock.create(1_000),
        log: NullLog.create(),
        jobs: JobRegistry.create(),
        onJob: text => reported.push(`job ${jobCodec.decodeJob(text)?.id ?? "unreadable"}`),
        onCancellation: cancelled => {
            reported.push(`cancellation ${cancelled}`);
            abort.abort();
        },
    });
    await input.run(abort.signal, 1);
    t.same(reported.slice(0, 2), [`job ${id}`, `cancellation ${id}`]);
});
