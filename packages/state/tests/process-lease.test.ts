import { ManualClock } from "@samphireward/core/manual-clock";
import t from "tap";
import { ProcessLease } from "../src/process-lease.js";
import { MemoryKeyValueStore } from "../src/testing/memory-key-value-store.js";
import { StoreFault } from "../src/testing/store-fault.js";

// Guards against a lease that is considered valid after the store may have ended it.
t.test("measures validity from before the renewal is sent", async t => {
    const clock = ManualClock.create();
    const store = MemoryKeyValueStore.create(clock);
    const lease = ProcessLease.create({ store, clock, ttlMs: 4000, marginMs: 500 });
    t.notOk(lease.isValid());
    store.latencyMs = 1500;
    await lease.step();
    t.equal(lease.remainingMs(), 2000, "the response time counts against the TTL");
    clock.advance(2000);
    t.notOk(lease.isValid());
});

// Guards against a process that keeps a lease ID whose keys the store has deleted, or drops a valid lease.
t.test("keeps the lease after failed renewals and replaces an expired one", async t => {
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
    t.equal(lease.leaseId, first, "the store still holds the lease");
    t.ok(lease.isValid());
    clock.advance(4000);
    await lease.step();
    t.not(lease.leaseId, first);
    t.ok(lease.isValid());
    await lease.release();
    await lease.step();
    t.equal(lease.leaseId, undefined, "a released lease is not granted again");
});
