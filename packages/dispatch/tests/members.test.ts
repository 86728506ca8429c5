import { mock } from "node:test";
import { ManualClock } from "@samphireward/core/manual-clock";
import { Err } from "ts-results-es";
import t from "tap";
import { CellDirectory } from "../src/cell-directory.js";
import { EpochReporter } from "../src/epoch-reporter.js";
import { MemberList } from "../src/member-list.js";
import { MemberRegistration } from "../src/member-registration.js";
import { StoreFailure } from "../src/store-failure.js";
import { ManualStore } from "./manual-store.js";
import { NullLog } from "./null-log.js";
import { RecordingLog } from "./recording-log.js";

const key = "members/n1";
const address = "127.0.0.1:1";
const item = { key, value: JSON.stringify({ address }), revision: 1 };

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

// Guards against an owner that finds no process to ask because registrations expired while the store was away.
t.test("a process registers again when its registration has expired", async t => {
    mock.timers.enable({ apis: ["setTimeout"] });
    const store = ManualStore.create();
    const registration = MemberRegistration.create(store, "n1", { address }, NullLog.create());
    const abort = new AbortController();
    const run = registration.run(abort.signal);
    await settle();
    await store.answerNext();
    t.match(store.transactions[0]?.writes, [{ key, value: item.value, leaseId: "1" }]);
    store.renewLease = () => Promise.resolve(Err(StoreFailure.LeaseEnded));
    for (let step = 0; step < 12; step++) {
        mock.timers.tick(1_000);
        await settle();
    }
    t.equal(store.transactions.length, 2);
    abort.abort();
    await store.answerNext();
    mock.timers.tick(10_000);
    await run;
    mock.timers.reset();
});

// Guards against processes that have left and are asked for ever, and against one that is forgotten at once because its
// registration expired while the store was away.
t.test("a registration that has expired counts for some time", async t => {
    const store = ManualStore.create();
    const clock = ManualClock.create(1_000);
    const log = RecordingLog.create();
    const members = MemberList.create(store, "own", () => true, clock, log);
    store.items = [
        item,
        { key: "members/own", value: JSON.stringify({ address: "127.0.0.1:2" }), revision: 1 },
        { key: "members/bad", value: "{", revision: 1 },
    ];
    t.ok(await members.refresh());
    t.same(members.addresses, [address]);
    t.match(log.lines, [{ event: "entry-unreadable", key: "members/bad" }]);
    store.items = [];
    clock.advance(20_000);
    await members.refresh();
    t.same(members.addresses, [address]);
    clock.advance(20_000);
    await members.refresh();
    t.same(members.addresses, []);
});

// Guards against a process that reports what it last saw as the present owner.
t.test("a report says whether it was read from the store", async t => {
    const store = ManualStore.create();
    const cells = CellDirectory.create();
    const reporter = EpochReporter.create(cells, store);
    store.items = [{ key: "cells/0/log", value: JSON.stringify({ epoch: 4, sequence: 2 }), revision: 1 }];
    t.same(await reporter.report(0), { epoch: 4, isCurrent: true });
    store.get = () => Promise.resolve(Err(StoreFailure.NotDone));
    t.same(await reporter.report(0), { epoch: undefined, isCurrent: false });
    store.get = () => new Promise(() => undefined);
    t.same(await reporter.report(0), { epoch: undefined, isCurrent: false });
});
