import { ManualClock } from "@samphireward/core/manual-clock";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import t from "tap";
import { GroupCommitLog } from "../src/group-commit-log.js";
import { ListStateMachine } from "../src/testing/list-state-machine.js";
import { MemoryKeyValueStore } from "../src/testing/memory-key-value-store.js";
import { StoreFault } from "../src/testing/store-fault.js";

const RingSlots = 8;
const LargeItem = "x".repeat(300_000);

const openLog = async (
    store: MemoryKeyValueStore,
    epoch: number,
): Promise<{ opened: Result<GroupCommitLog<string, string>, Error & { readonly code: number }> }> => {
    const opened = await GroupCommitLog.open<string, string>({
        store,
        clock: ManualClock.create(),
        cell: "a/0",
        owner: `s${epoch}`,
        epoch,
        state: ListStateMachine.create<string>(),
        ringSlots: RingSlots,
    });
    return { opened };
};

/** Appends large items until the snapshot has parts. */
const fill = async (log: GroupCommitLog<string, string>, count: number): Promise<void> => {
    for (let item = 0; item < count; item++) {
        const appended = log.append([LargeItem]);
        await log.commit();
        await appended;
    }
};

const replace = (store: MemoryKeyValueStore, key: string, value: string): void => {
    const revision = store.table.get(key)?.revision ?? 0;
    store.table.put(key, value, revision).unwrap();
};

const invalid = ["", "{", "null", "7", "[]", '{"epoch":1}', '{"epoch":"1","position":"x"}'];

// Guards against a scheduler that ends, or an owner that goes on without what it cannot read, because of a stored value
// that is cut short or of another form.
t.test("an owner does not start on a log or snapshot that it cannot read, and names the key", async t => {
    for (const value of invalid) {
        for (const key of ["cell/a/0/log/1", "cell/a/0/snapshot", "part"]) {
            const store = MemoryKeyValueStore.create(ManualClock.create());
            const first = await openLog(store, 1);
            await fill(first.opened.unwrap(), 2 * RingSlots);
            const part = store.table.list("cell/a/0/snapshot/").entries[0]?.key ?? "";
            t.not(part, "");
            if (key === "part" && value === "[]") {
                continue;
            }
            const replaced = key === "part" ? part : key;
            replace(store, replaced, value);
            const { opened } = await openLog(store, 2);
            t.equal(opened.isErr() && opened.error.code, ResultCode.StoreUnavailable, `${replaced} ${value}`);
            t.match(opened.isErr() && opened.error.message, new RegExp(replaced));
        }
    }
});

// Guards against an owner that stops with an error, or reports an append as durable, when another writer has put a value
// of another form into its log.
t.test("an owner that finds no record in a slot is deposed", async t => {
    for (const value of invalid) {
        const store = MemoryKeyValueStore.create(ManualClock.create());
        const log = (await openLog(store, 1)).opened.unwrap();
        t.ok(store.table.put("cell/a/0/log/2", value, 0).isOk());
        const appended = log.append(["a"]);
        await log.commit();
        const result = await appended;
        t.equal(result.isErr() && result.error.code, ResultCode.StaleEpoch, value);
    }
});

// Guards against parts of old snapshots that stay in the store for good, because one deletion failed.
t.test("a part whose deletion failed is deleted after the next snapshot", async t => {
    const store = MemoryKeyValueStore.create(ManualClock.create());
    const log = (await openLog(store, 1)).opened.unwrap();
    const partKeys = (): string[] => store.table.list("cell/a/0/snapshot/").entries.map(({ key }) => key);
    await fill(log, RingSlots);
    const oldKeys = partKeys();
    t.ok(oldKeys.length > 1, "the first snapshot has parts");
    const deleteCall = store.delete.bind(store);
    let failures = 0;
    store.delete = (key, revision) => {
        if (oldKeys.includes(key) && failures++ < oldKeys.length) {
            store.failNext(StoreFault.Refused);
        }
        return deleteCall(key, revision);
    };
    await fill(log, 3 * RingSlots);
    t.ok(failures > 0);
    t.same(
        partKeys().filter(key => oldKeys.includes(key)),
        [],
    );
});
