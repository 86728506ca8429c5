import { ManualClock } from "@samphireward/core/manual-clock";
import t from "tap";
import { CellOwnership } from "../src/cell-ownership.js";
import { ProcessLease } from "../src/process-lease.js";
import { MemoryKeyValueStore } from "../src/testing/memory-key-value-store.js";
import { StoreFault } from "../src/testing/store-fault.js";

const setup = () => {
    const clock = ManualClock.create();
    const table = MemoryKeyValueStore.create(clock);
    const start = async (owner: string, isPreferred: boolean) => {
        const store = table.connect();
        const lease = ProcessLease.create({ store, clock });
        await lease.step();
        const cell = "a/0";
        const ownership = CellOwnership.create({
            store,
            lease,
            clock,
            cell,
            owner,
            address: "127.0.0.1:1",
            isPreferred: () => isPreferred,
        });
        return { store, lease, ownership };
    };
    return { clock, table, start };
};

// Guards against a cell that a non-preferred process acquires while the preferred one is alive.
t.test("the preferred process acquires a free cell first", async t => {
    const { clock, start } = setup();
    const second = await start("s2", false);
    await second.ownership.step();
    t.equal(second.ownership.epoch, undefined);
    const first = await start("s1", true);
    await first.ownership.step();
    t.equal(first.ownership.epoch, 1);
    t.ok(first.ownership.canGrant());
    clock.advance(1000);
    await second.ownership.step();
    t.equal(second.ownership.owner?.owner, "s1");
    t.equal(second.ownership.epoch, undefined);

    // Guards against a planned stop that leaves the cell without an owner until the lease expires.
    await first.ownership.release();
    await second.ownership.step();
    clock.advance(1000);
    await second.ownership.step();
    t.equal(second.ownership.epoch, 2);
});

// Guards against a lost response that leaves the cell without an owner, or an epoch that is used twice.
t.test("acquires the cell despite lost responses and refused calls", async t => {
    const cases = [
        { name: "read", faults: [StoreFault.Refused], afterSteps: 2 },
        {
            name: "epoch, not applied",
            faults: [undefined, undefined, StoreFault.LostBeforeApply],
            afterSteps: 1,
        },
        { name: "epoch, applied", faults: [undefined, undefined, StoreFault.LostAfterApply], afterSteps: 1 },
        {
            name: "owner, not applied",
            faults: [undefined, undefined, undefined, StoreFault.LostBeforeApply],
            afterSteps: 1,
        },
        {
            name: "owner, applied",
            faults: [undefined, undefined, undefined, StoreFault.LostAfterApply],
            afterSteps: 1,
        },
        {
            name: "owner, refused",
            faults: [undefined, undefined, undefined, StoreFault.Refused],
            afterSteps: 2,
        },
        {
            name: "owner, late",
            faults: [undefined, undefined, undefined, StoreFault.AppliedLate, StoreFault.Refused],
            afterSteps: 2,
        },
    ];
    for (const { name, faults, afterSteps } of cases) {
        const { start, table } = setup();
        const { store, ownership } = await start("s1", true);
        faults.forEach((fault, index) => fault !== undefined && store.failAfter(index, fault));
        for (let step = 0; step < afterSteps; step += 1) {
            await ownership.step();
            store.deliverLate();
        }
        const stored = table.table.get("cell/a/0/owner");
        t.ok(ownership.epoch !== undefined, name);
        t.match(JSON.parse(stored?.value ?? "{}"), { owner: "s1", epoch: ownership.epoch }, name);
        t.equal(Number(table.table.get("cell/a/0/epoch")?.value), ownership.epoch, name);
    }
});

// Guards against an owner that continues after its lease has ended during a pause.
t.test("detects the loss of the cell after a pause", async t => {
    const { clock, start } = setup();
    const { lease, ownership } = await start("s1", true);
    const other = await start("s2", true);
    await ownership.step();
    clock.advance(5000);
    t.notOk(ownership.canGrant());
    t.equal(ownership.epoch, 1, "during a store outage it still considers itself the owner");
    await other.lease.step();
    await other.ownership.step();
    t.equal(other.ownership.epoch, 2);
    await lease.step();
    t.equal(ownership.epoch, undefined);
    await ownership.step();
    t.equal(ownership.owner?.owner, "s2");
});

// Guards against a cell that no process can own any more: an epoch that cannot be read was raised to "NaN", which each
// later process read, raised and claimed again, so that no owner was fenced by another.
t.test("an epoch that cannot be read is neither raised nor claimed", async t => {
    for (const value of ["x", "NaN", "", "-1", "1.5", "9007199254740993"]) {
        const { start, table } = setup();
        t.ok(table.table.put("cell/a/0/epoch", value, 0).isOk());
        const { ownership } = await start("s1", true);
        await ownership.step();
        t.equal(ownership.epoch, undefined, value);
        t.equal(table.table.get("cell/a/0/epoch")?.value, value);
        t.equal(table.table.get("cell/a/0/owner"), undefined);
        t.equal(ownership.counters.get("ownership.epoch-unreadable"), 1);
    }
});

// Guards against a cell that has no owner until the lease of a stopped process ends: the process claimed it while it
// released its cells.
t.test("a release during a claim leaves the cell free", async t => {
    // The calls of a step read the owner and the epoch, and write the epoch and the owner; each has two hold points.
    for (let holdPoints = 0; holdPoints < 8; holdPoints++) {
        const { start, table } = setup();
        const { store, ownership } = await start("s1", true);
        store.holdAfter(holdPoints);
        const stepped = ownership.step();
        await new Promise(resolve => setImmediate(resolve));
        let isReleased = false;
        const released = ownership.release().then(() => (isReleased = true));
        await new Promise(resolve => setImmediate(resolve));
        const hadClaimed = isReleased;
        store.release();
        await Promise.all([stepped, released]);
        t.equal(table.table.get("cell/a/0/owner"), undefined, `after ${holdPoints} hold points`);
        t.equal(ownership.epoch, undefined);
        t.equal(hadClaimed, holdPoints < 2, "a release waits for a claim that is under way");
    }
});
