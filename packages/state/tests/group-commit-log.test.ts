import { ManualClock } from "@samphireward/core/manual-clock";
import { ResultCode } from "@samphireward/core/result-code";
import * as fc from "fast-check";
import t from "tap";
import { GroupCommitLog } from "../src/group-commit-log.js";
import { packItems } from "../src/pack-items.js";
import { ListStateMachine } from "../src/testing/list-state-machine.js";
import { MemoryKeyValueStore } from "../src/testing/memory-key-value-store.js";
import { StoreFault } from "../src/testing/store-fault.js";

const clock = ManualClock.create();

const open = async (store: MemoryKeyValueStore, epoch: number, ringSlots = 256) => {
    const state = ListStateMachine.create<string>();
    const opened = await GroupCommitLog.open({
        store,
        clock,
        cell: "a/0",
        owner: `s${epoch}`,
        epoch,
        state,
        ringSlots,
    });
    return { state, log: opened.unwrap() };
};

const resultCode = async (append: ReturnType<GroupCommitLog<string, string>["append"]>): Promise<number> => {
    const result = await append;
    return result.isOk() ? ResultCode.Answered : result.error.code;
};

// Guards against one store write per append, and appends that are written in another order than called.
t.test("writes concurrent appends in one record", async t => {
    const store = MemoryKeyValueStore.create(clock);
    const { log, state } = await open(store, 1);
    const appends = ["a", "b", "c"].map(text => log.append([text]));
    t.equal(await log.commit(), 0);
    await Promise.all(appends);
    t.strictSame(state.items, ["a", "b", "c"]);
    t.equal(log.counters.get("log.writes"), 2, "the epoch record and one group");
    const writes = store.calls.writes;
    await log.commit();
    t.equal(store.calls.writes, writes, "nothing is written while nothing changes");
});

// Guards against an append that fails as not written and becomes durable later.
t.test("failed appends are never durable", async t => {
    const store = MemoryKeyValueStore.create(clock);
    const { log } = await open(store, 1);
    t.equal(await resultCode(log.append(["x".repeat(1_000_001)])), ResultCode.RequestTooLarge);

    store.isDown = true;
    const withoutTimeout = resultCode(log.append(["without timeout"]));
    const withTimeout = resultCode(log.append(["with timeout"], { queueTimeoutMs: 2000 }));
    await log.commit();
    clock.advance(2000);
    await log.commit();
    t.equal(await withTimeout, ResultCode.StoreUnavailable);

    const many = new Array<string>(19_999).fill("");
    const filling = log.append(many);
    t.equal(await resultCode(log.append(["one more"])), ResultCode.StoreUnavailable);
    store.clearFaults();
    t.ok(await log.flush());
    t.equal(await withoutTimeout, ResultCode.Answered);
    t.ok((await filling).isOk());

    // Guards against an unknown outcome that is reported as not written.
    store.failNext(StoreFault.LostAfterApply, StoreFault.Refused);
    const lost = resultCode(log.append(["lost"], { queueTimeoutMs: 2000 }));
    await log.commit();
    clock.advance(5000);
    await log.commit();
    t.equal(await lost, ResultCode.Answered);
    const next = await open(store, 2);
    t.strictSame(next.state.items, ["without timeout", ...many, "lost"]);
});

// Guards against a deposed owner that reports a definite outcome for a record whose slot was overwritten.
t.test("reports the outcome of a deposed owner whose slot was overwritten", async t => {
    const cases = [
        { fault: StoreFault.LostAfterApply, code: ResultCode.OwnerUnreachable, isDurable: true },
        { fault: StoreFault.LostBeforeApply, code: ResultCode.OwnerUnreachable, isDurable: false },
        { fault: StoreFault.Refused, code: ResultCode.StaleEpoch, isDurable: false },
    ];
    // The read that resolves the lost response fails, or its response arrives after the slot was overwritten.
    for (const { fault, code, isDurable, isReadHeld } of cases.flatMap(row => [
        { ...row, isReadHeld: false },
        { ...row, isReadHeld: true },
    ])) {
        const store = MemoryKeyValueStore.create(clock);
        const { log } = await open(store, 1, 4);
        store.failNext(fault);
        if (isReadHeld) {
            store.holdAfter(fault === StoreFault.LostAfterApply ? 2 : 1);
        } else {
            store.failAfter(1, StoreFault.Refused);
        }
        const pending = resultCode(log.append(["old"]));
        const first = log.commit();
        await new Promise(resolve => setImmediate(resolve));
        const next = await open(store.connect(), 2, 4);
        for (let count = 0; count < 9; count += 1) {
            const append = next.log.append([`new ${count}`]);
            await next.log.commit();
            t.ok((await append).isOk());
        }
        store.clearFaults();
        store.release();
        await first;
        await log.commit();
        t.equal(await pending, code, `${fault}, held: ${isReadHeld}`);
        t.equal(await resultCode(log.append(["more"])), ResultCode.StaleEpoch, fault);
        t.equal(next.state.items.includes("old"), isDurable, fault);
    }
});

// Guards against starting a lower epoch when the snapshot already includes all records of a higher one.
t.test("a lower epoch cannot start after a higher one", async t => {
    const store = MemoryKeyValueStore.create(clock);
    const { log } = await open(store, 5, 4);
    void log.append(["a"]);
    await log.commit();
    t.equal(log.counters.get("snapshot.written"), 1);
    const late = await GroupCommitLog.open({
        store,
        clock,
        cell: "a/0",
        owner: "s",
        epoch: 4,
        state: ListStateMachine.create<string>(),
        ringSlots: 4,
    });
    t.equal(late.isErr() && late.error.code, ResultCode.StaleEpoch);
});

// Guards against a snapshot of more than 1 MB that is incomplete, lost, or leaves old parts in the store.
t.test("writes and reads a snapshot in several parts", async t => {
    const store = MemoryKeyValueStore.create(clock);
    const { log, state } = await open(store, 1, 4);
    for (let count = 0; count < 8; count += 1) {
        const append = log.append(Array.from({ length: 5 }, () => `${count}`.repeat(90_000)));
        await log.commit();
        t.ok((await append).isOk());
    }
    const parts = store.table.list("cell/a/0/snapshot/").entries;
    t.ok(parts.length > 2);
    t.ok(parts.length <= 5, "parts of earlier snapshots are deleted");
    const other = store.connect();
    other.failAfter(2, StoreFault.Refused);
    const next = await open(other, 2, 4);
    t.strictSame(next.state.items, state.items);
    t.ok(next.log.counters.get("log.reads") > 4, "the failed list was replaced by single reads");
});

// Guards against items that are lost or reordered, and parts that exceed the limit.
t.test("packs snapshot items, seed 11", t => {
    const texts = fc.array(fc.string({ maxLength: 40 }).map(text => JSON.stringify(text)));
    const property = fc.property(texts, fc.integer({ min: 60, max: 400 }), (items, limit) => {
        const parts = packItems(items, limit);
        const unpacked = parts
            .flatMap(part => JSON.parse(part) as string[])
            .map(text => JSON.stringify(text));
        const isWithin = parts.every(
            part => Buffer.byteLength(part) <= limit || (JSON.parse(part) as unknown[]).length === 1,
        );
        return isWithin && unpacked.join() === items.join();
    });
    fc.assert(property, { seed: 11, numRuns: 500 });
    t.end();
});
