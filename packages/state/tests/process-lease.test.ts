import { ManualClock } from "@samphireward/core/manual-clock";
import t from "tap";
import { ProcessLease } from "../src/process-lease.js";
import { MemoryKeyValueStore } from "../src/testing/memory-key-value-store.js";
import { StoreFault } from "../src/testing/store-fault.js";

// Guards against a lease that is considered valid after the store may have ended it.
t.test("validity counts from before the renewal was sent", async t => {
    const clock = ManualClock.create();
    const store = MemoryKeyValueStore.create(clock);
    const lease = ProcessLease.create({ store, clock, ttlMs: 4000, marginMs: 500 });
    t.notOk(lease.isValid());
    store.slowMs = 1500;
    await lease.step();
    t.equal(lease.remainingMs(), 2000, "the slow answer is part of the TTL");
    clock.advance(2000);
    t.notOk(lease.isValid());
});

// Guards against a process that keeps an id whose keys the store has deleted, or gives up one that is alive.
t.test("failed renewals and a lapsed lease", async t => {
    const clock = ManualClock.create();
    const store = MemoryKeyValueStore.create(clock);
    const lease = ProcessLease.create({ store, clock });
    await lease.step();
    const first = lease.leaseId;
    for (const fault of [StoreFault.Refused, StoreFault.LostBeforeApply, StoreFault.LostAfterApply]) {
        store.failNext(fault);
        await lease.step();
        t.equal(lease.leaseId, first, fault);
    }
    clock.advance(3600);
    t.notOk(lease.isValid());
    await lease.step();
    t.equal(lease.leaseId, first, "the store still had it");
    t.ok(lease.isValid());
    clock.advance(4000);
    await lease.step();
    t.not(lease.leaseId, first);
    t.ok(lease.isValid());
    await lease.release();
    await lease.step();
    t.equal(lease.leaseId, undefined, "a released lease is not granted again");
});
