import { ManualClock } from "@samphireward/core/manual-clock";
import { JobRegistry } from "@samphireward/jobs/job-registry";
import t from "tap";
import { CellInputWatcher } from "../src/cell-input-watcher.js";
import { jobCodec } from "../src/job-codec.js";
import { StoreFailure } from "../src/store-failure.js";
import { ManualStore } from "./manual-store.js";
import { NullLog } from "./null-log.js";
import { oneTaskJob } from "./one-task-job.js";

// Guards against a cancellation that is lost: after a dropped history everything is read again, and the keys of
// cancellations sort before those of jobs.
t.test("a job and its cancellation that are read together arrive in this order", async t => {
    const store = ManualStore.create();
    const { id } = oneTaskJob;
    store.watchFailure = StoreFailure.Compacted;
    store.items = [
        { key: `cells/3/in/cancel/${id}`, value: "", revision: 6 },
        { key: `cells/3/in/job/${id}`, value: jobCodec.encodeJob(oneTaskJob), revision: 5 },
        { key: "cells/30/in/job/other", value: "", revision: 5 },
    ];
    const seen: string[] = [];
    const abort = new AbortController();
    const input = CellInputWatcher.create({
        cell: 3,
        store,
        clock: ManualClock.create(1_000),
        log: NullLog.create(),
        book: JobRegistry.create(),
        onJob: text => seen.push(`job ${jobCodec.decodeJob(text)?.id ?? "unreadable"}`),
        onCancellation: cancelled => {
            seen.push(`cancellation ${cancelled}`);
            abort.abort();
        },
    });
    await input.run(abort.signal, 1);
    t.same(seen.slice(0, 2), [`job ${id}`, `cancellation ${id}`]);
});
