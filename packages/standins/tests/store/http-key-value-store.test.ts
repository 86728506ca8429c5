import { createServer as createTcpServer } from "node:net";
import type { AddressInfo } from "node:net";
import { SystemClock } from "@samphireward/core/system-clock";
import { HttpKeyValueStore } from "@samphireward/state/http-key-value-store";
import type { StoreError } from "@samphireward/state/store-error";
import { StoreErrorKind } from "@samphireward/state/store-error-kind";
import type { Result } from "ts-results-es";
import type { Test } from "tap";
import t from "tap";
import { StoreServer } from "../../src/store/store-server.js";

const clock = SystemClock.create();
const resultKind = (result: Result<unknown, StoreError>): string =>
    result.isOk() ? "ok" : result.error.kind;

const startStore = async (
    t: Test,
): Promise<{ store: HttpKeyValueStore; setFault: (body: object) => unknown }> => {
    const server = StoreServer.create(clock);
    const address = await server.listen("127.0.0.1:0");
    const store = HttpKeyValueStore.create({ address, timeoutMs: 300, clock });
    t.teardown(() => {
        store.close();
        server.close();
    });
    const setFault = (body: object): unknown =>
        fetch(`http://${address}/v1/fault`, { method: "POST", body: JSON.stringify(body) });
    return { store, setFault };
};

// Guards against a compare-and-swap that overwrites a newer value, and against a revision that is used twice.
t.test("conditional writes, deletion and watch", async t => {
    const { store } = await startStore(t);
    const first = (await store.put("a/1", "x", 0)).unwrap();
    const again = await store.put("a/1", "y", 0);
    t.equal(again.isErr() && again.error.current?.value, "x");
    t.equal(resultKind(await store.delete("a/1", first)), "ok");
    const second = (await store.put("a/1", "z", 0)).unwrap();
    t.ok(second > first + 1, "the deletion has its own revision");
    t.equal((await store.get("a/1")).unwrap()?.revision, second);
    t.equal((await store.get("a/2")).unwrap(), undefined);

    const pending = store.watch("a/", second, 5000);
    await store.put("a/2", "w", 0);
    t.strictSame(
        (await pending).unwrap().entries.map(entry => entry.key),
        ["a/2"],
    );
    t.equal(resultKind(await store.put("big", "v".repeat(1_048_577), 0)), StoreErrorKind.NotApplied);
    t.equal(resultKind(await store.put("big", "v".repeat(1_048_576), 0)), "ok");
});

// Guards against keys that remain after their lease was revoked.
t.test("a revoked lease deletes its keys", async t => {
    const { store } = await startStore(t);
    const leaseId = (await store.grantLease(60_000)).unwrap();
    await store.put("member/a", "x", 0, leaseId);
    t.equal(resultKind(await store.renewLease(leaseId)), "ok");
    t.equal(resultKind(await store.revokeLease(leaseId)), "ok");
    t.equal((await store.get("member/a")).unwrap(), undefined);
    t.equal(resultKind(await store.renewLease(leaseId)), StoreErrorKind.LeaseLost);
    t.equal(resultKind(await store.put("member/a", "x", 0, leaseId)), StoreErrorKind.LeaseLost);
});

// Guards against a write that is reported as "not applied" although the store may have received its request.
t.test("a failed write reports whether it may have been applied", async t => {
    const { store, setFault } = await startStore(t);
    const cases: { name: string; fault: object; kind: string; isApplied: boolean }[] = [
        { name: "down", fault: { mode: "down" }, kind: StoreErrorKind.MayBeApplied, isApplied: false },
        {
            name: "lose-answers",
            fault: { mode: "lose-answers" },
            kind: StoreErrorKind.MayBeApplied,
            isApplied: true,
        },
        {
            name: "slow",
            fault: { mode: "slow", delayMs: 900, count: 1 },
            kind: StoreErrorKind.MayBeApplied,
            isApplied: false,
        },
    ];
    for (const { name, kind, isApplied, ...rest } of cases) {
        await setFault(rest.fault);
        t.equal(resultKind(await store.put(`k/${name}`, "x", 0)), kind, name);
        await setFault({ mode: "down" });
        t.equal(resultKind(await store.get(`k/${name}`)), StoreErrorKind.NotApplied, name);
        await setFault({ mode: "none" });
        t.equal((await store.get(`k/${name}`)).unwrap() !== undefined, isApplied, name);
    }
});

// Guards against a refused connection that is reported as a write that may have been applied.
t.test("a write is not applied if the connection is refused", async t => {
    const server = createTcpServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    const store = HttpKeyValueStore.create({ address: `127.0.0.1:${port}`, timeoutMs: 300, clock });
    t.equal(resultKind(await store.put("a", "x", 0)), StoreErrorKind.NotApplied);
    store.close();
});
