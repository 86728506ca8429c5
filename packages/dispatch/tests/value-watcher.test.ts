import { ManualClock } from "@samphireward/core/manual-clock";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import t from "tap";
import { StoreFailure } from "../src/store-failure.js";
import type { StoreChanges } from "../src/store-changes.js";
import type { StoreReadIfChanged } from "../src/store-read-if-changed.js";
import { ValueWatcher } from "../src/value-watcher.js";
import { ManualStore } from "./manual-store.js";
import { NullLog } from "./null-log.js";
import { ScriptedReads } from "./scripted-reads.js";

const key = "config";
const SlowMs = 120;

const changesOf = (versions: readonly number[], transferMs: number): Result<StoreChanges, StoreFailure> =>
    Ok({
        changes: versions.map(version => ({ key, value: `v${version}`, revision: version })),
        revision: versions.at(-1) ?? 0,
        transferMs,
    });

const newer = (version: number, transferMs: number): Result<StoreReadIfChanged, StoreFailure> =>
    Ok({ item: { key, value: `v${version}`, revision: version }, transferMs });

const unchanged: Result<StoreReadIfChanged, StoreFailure> = Ok({ item: undefined, transferMs: 0 });

const silent: Result<never, StoreFailure> = Err(StoreFailure.Unknown);

const cases = [
    {
        name: "after a value that arrives at once the watch goes on from its revision",
        reads: [changesOf([2], 1), changesOf([3], 1)],
        calls: ["watch after 1", "watch after 2", "watch after 3"],
        values: ["v1", "v2", "v3"],
    },
    {
        name: "after a value that took long, those in between are skipped",
        reads: [changesOf([2], SlowMs), newer(7, SlowMs), unchanged],
        calls: ["watch after 1", "read if not 2", "read if not 7", "watch after 7"],
        values: ["v1", "v2", "v7"],
    },
    {
        name: "only the last of several values in one response is passed on",
        reads: [changesOf([2, 3, 4], SlowMs), unchanged],
        calls: ["watch after 1", "read if not 4", "watch after 4"],
        values: ["v1", "v4"],
    },
    {
        name: "when the newest value cannot be read, it is read again",
        reads: [changesOf([2], SlowMs), silent, newer(5, 1), changesOf([6], 1)],
        calls: ["watch after 1", "read if not 2", "read if not 2", "watch after 5", "watch after 6"],
        values: ["v1", "v2", "v5", "v6"],
    },
    {
        name: "after a watch that failed, the newest value is read and not all of them",
        reads: [silent, newer(9, 1), changesOf([10], 1)],
        calls: ["watch after 1", "read if not 1", "watch after 9", "watch after 10"],
        values: ["v1", "v9", "v10"],
    },
] as const;

// Guards against versions of the configuration that are missed, or that are all received although only the newest one
// is of use, while they fill the link.
t.test("a watcher of one value receives its newest version", async t => {
    for (const { name, reads, calls, values } of cases) {
        const store = ScriptedReads.create([{ key, value: "v1", revision: 1 }], reads);
        const received: string[] = [];
        const watcher = ValueWatcher.create(
            store,
            key,
            value => received.push(value),
            ManualClock.create(0),
            NullLog.create(),
        );
        const abort = new AbortController();
        const ended = watcher.run(abort.signal);
        await store.exhausted;
        abort.abort();
        t.strictSame(store.calls, calls, `${name}: calls`);
        t.strictSame(received, values, `${name}: values`);
        store.release();
        await ended;
    }
});

// Guards against a configuration that is never read again after the store has dropped its history.
t.test("a watcher of one value reads it again after a compaction", async t => {
    const store = ManualStore.create();
    store.items = [{ key, value: "v1", revision: 1 }];
    store.watchFailure = StoreFailure.Compacted;
    const abort = new AbortController();
    const seenTwice = new Promise<void>(resolve => {
        let count = 0;
        const onValue = (): void => {
            count += 1;
            if (count === 2) {
                resolve();
            }
        };
        const watcher = ValueWatcher.create(store, key, onValue, ManualClock.create(0), NullLog.create());
        void watcher.run(abort.signal);
    });
    await seenTwice;
    abort.abort();
    t.pass();
});
