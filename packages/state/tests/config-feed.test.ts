import { readFileSync } from "node:fs";
import { join } from "node:path";
import type { ConfigDocument } from "@samphireward/core/config-document";
import { ManualClock } from "@samphireward/core/manual-clock";
import { ResultCode } from "@samphireward/core/result-code";
import type { TableProblem } from "@samphireward/core/table-problem";
import * as fc from "fast-check";
import t from "tap";
import { ConfigFeed } from "../src/config-feed.js";
import type { KvEntry } from "../src/kv-entry.js";
import { MemoryKeyValueStore } from "../src/testing/memory-key-value-store.js";
import { StoreFault } from "../src/testing/store-fault.js";

t.setTimeout(0);

const read = (file: string): string =>
    readFileSync(join(process.cwd(), "examples", "kloverknap", file), "utf8");
const tables = { routes: read("routes.toml"), pools: read("pools.toml") };
const change = (changeId: string) => ({ changeId, author: "operator", ...tables });
const key = "config/current";

const setup = () => {
    const clock = ManualClock.create();
    const store = MemoryKeyValueStore.create(clock);
    const rejected: (readonly TableProblem[])[] = [];
    const feed = ConfigFeed.create({ store, clock, onRejected: problems => rejected.push(problems) });
    return { clock, store, feed, rejected, other: ConfigFeed.create({ store: store.connect(), clock }) };
};

const outcome = async (proposal: ReturnType<ConfigFeed["propose"]>): Promise<number> => {
    const result = await proposal;
    return result.isOk() ? ResultCode.TablesApplied : result.error.code;
};

// Guards against two changes with the same revision, and a conflict that does not report the other change.
t.test("accepts one of two concurrent proposals", async t => {
    const { feed, other } = setup();
    const codes = await Promise.all([
        outcome(feed.propose(0, change("a"))),
        outcome(other.propose(0, change("b"))),
    ]);
    t.strictSame(codes.sort(), [ResultCode.TablesApplied, ResultCode.ConfigConflict]);
    await other.readOnce();
    t.equal(other.revision, 1);
    const late = await other.propose(0, change("c"));
    t.equal(late.isErr() && late.error.current?.revision, 1);
    t.equal(await outcome(feed.propose(1, { ...change("d"), pools: "[pools" })), ResultCode.TablesInvalid);
});

// Guards against a lost response that reports an accepted change as rejected, or applies it twice.
t.test("resolves lost responses of a proposal", async t => {
    for (const fault of [StoreFault.LostAfterApply, StoreFault.LostBeforeApply, StoreFault.AppliedLate]) {
        const { feed, store } = setup();
        store.failAfter(1, fault);
        const proposal = feed.propose(0, change("a"));
        t.equal(await outcome(proposal), ResultCode.TablesApplied, fault);
        store.deliverLate();
        await feed.readOnce();
        t.equal(feed.revision, 1, fault);
        t.equal(await outcome(feed.propose(0, change("a"))), ResultCode.TablesApplied, "repeated");
    }
    // The response is lost, and two other changes are applied before the proposal is repeated.
    const { feed, store, other } = setup();
    store.failAfter(1, StoreFault.LostAfterApply);
    [2, 3, 4, 5].forEach(calls => store.failAfter(calls, StoreFault.Refused));
    t.equal(await outcome(feed.propose(0, change("a"))), ResultCode.ConnectionLost);
    await other.propose(1, change("b"));
    await other.propose(2, change("c"));
    store.clearFaults();
    const repeated = await feed.propose(0, change("a"));
    t.equal(repeated.isOk() && repeated.value.revision, 1);
    t.strictSame(
        feed.history.map(info => info.changeId),
        ["c", "b", "a"],
    );
});

// Guards against an invalid document that is applied, and a store with an older revision that is trusted.
t.test("does not apply invalid or older documents", async t => {
    const { feed, store, rejected, clock } = setup();
    await feed.propose(0, change("a"));
    await feed.propose(1, change("b"));
    const put = (value: string): void => {
        store.table.put(key, value, store.table.get(key)?.revision ?? 0).unwrap();
    };
    const document = { revision: 9, changeId: "x", author: "o", timeMs: 0, ...tables };
    for (const value of ["{", "{}", JSON.stringify({ ...document, routes: "[routes" })]) {
        put(value);
        await feed.readOnce();
        await feed.readOnce();
    }
    t.equal(rejected.length, 3, "each is reported once");
    put(JSON.stringify({ ...document, revision: 1 }));
    await feed.readOnce();
    t.equal(feed.revision, 2);
    t.equal(feed.acceptFromPeer({ ...document, revision: 1 }), false);
    t.equal(await outcome(feed.propose(2, change("c"))), ResultCode.TablesApplied);
    t.equal(
        feed.revision,
        3,
        "the next change continues from the applied revision, not from the older one in the store",
    );

    // Guards against a process that keeps serving without contact to the store or any peer.
    store.isDown = true;
    clock.advance(60_000);
    await feed.readOnce();
    t.equal(feed.msSinceAnyContact(), 60_000);
    t.ok(feed.acceptFromPeer({ ...document, revision: 10 }));
    t.equal(feed.msSinceAnyContact(), 0);
    t.equal(feed.msSinceStoreContact(), 60_000);
});

// Guards against a change between a read and the next watch that is missed.
t.test("a watch applies the change", async t => {
    const { feed, other } = setup();
    const watching = feed.watchOnce();
    await other.propose(0, change("a"));
    await watching;
    t.equal(feed.revision, 1);
});

const operations = fc.record({
    kind: fc.constantFrom("propose", "propose", "read", "stale-read", "peer", "fault", "late", "down", "up"),
    process: fc.nat(2),
    other: fc.nat(2),
    fault: fc.constantFrom(...Object.values(StoreFault)),
    after: fc.nat(3),
});

// Guards against a revision that decreases in a process, a revision with two changes, and a lost accepted change.
t.test("random proposals under faults, seed 31", async t => {
    let accepted = 0;
    const property = fc.asyncProperty(
        fc.array(operations, { minLength: 10, maxLength: 60, size: "max" }),
        async list => {
            const clock = ManualClock.create();
            const store = MemoryKeyValueStore.create(clock);
            const applied = new Map<number, string>();
            const processes = [0, 1, 2].map(() => {
                const connection = store.connect();
                const stale: { entry: KvEntry | undefined } = { entry: undefined };
                const seen: number[] = [];
                const feed = ConfigFeed.create({
                    store: connection,
                    clock,
                    onApplied: ({ document }) => {
                        seen.push(document.revision);
                        const id = applied.get(document.revision) ?? document.changeId;
                        applied.set(document.revision, id === document.changeId ? id : "two changes");
                    },
                });
                return { connection, stale, seen, feed };
            });
            const results: { id: string; code: number }[] = [];
            for (const [index, { kind, process, other, fault, after }] of list.entries()) {
                const chosen = processes[process];
                if (chosen === undefined) {
                    continue;
                }
                const { feed, connection, stale } = chosen;
                if (kind === "propose") {
                    const id = `c${index}`;
                    results.push({ id, code: await outcome(feed.propose(feed.revision, change(id))) });
                } else if (kind === "read") {
                    stale.entry = store.table.get(key);
                    await feed.readOnce();
                } else if (kind === "stale-read" && stale.entry !== undefined) {
                    feed.acceptFromPeer(JSON.parse(stale.entry.value) as ConfigDocument);
                } else if (kind === "peer") {
                    const document = processes[other]?.feed.applied?.document;
                    void (document !== undefined && feed.acceptFromPeer(document));
                } else if (kind === "fault") {
                    connection.failAfter(after, fault);
                } else if (kind === "late") {
                    connection.deliverLate();
                } else {
                    connection.isDown = kind === "down";
                }
            }
            for (const { connection, feed } of processes) {
                connection.clearFaults();
                connection.deliverLate();
                await feed.readOnce();
            }
            await Promise.all(processes.map(({ feed }) => feed.readOnce()));
            const last = processes[0]?.feed.history.map(info => info.changeId) ?? [];
            const isAccepted = (code: number): boolean => code === ResultCode.TablesApplied;
            accepted += results.filter(({ code }) => isAccepted(code)).length;
            const notWritten: readonly number[] = [ResultCode.ConfigConflict, ResultCode.StoreUnavailable];
            return (
                ![...applied.values()].includes("two changes") &&
                processes.every(({ seen }) => seen.every((revision, i) => revision > (seen[i - 1] ?? 0))) &&
                processes.every(({ feed }) => feed.revision === processes[0]?.feed.revision) &&
                results.every(({ id, code }) => !isAccepted(code) || last.includes(id)) &&
                results.every(({ id, code }) => !notWritten.includes(code) || !last.includes(id))
            );
        },
    );
    const details = await fc.check(property, {
        seed: 31,
        numRuns: Math.ceil(Number(process.env["FAULT_SCHEDULES"] ?? 1000) / 4),
    });
    t.notOk(details.failed, fc.defaultReportMessage(details) ?? "");
    t.ok(accepted > 3 * details.numRuns, `${accepted} accepted`);
});
