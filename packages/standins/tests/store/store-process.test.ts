import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { ResultCode } from "@samphireward/core/result-code";
import { SystemClock } from "@samphireward/core/system-clock";
import { CellOwnership } from "@samphireward/state/cell-ownership";
import { ConfigFeed } from "@samphireward/state/config-feed";
import { GroupCommitLog } from "@samphireward/state/group-commit-log";
import { HttpKeyValueStore } from "@samphireward/state/http-key-value-store";
import { ProcessLease } from "@samphireward/state/process-lease";
import { ListStateMachine } from "@samphireward/state/testing/list-state-machine";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import type { Test } from "tap";
import t from "tap";

t.setTimeout(0);

const clock = SystemClock.create();
const entryFile = join(process.cwd(), "packages", "standins", "dist", "src", "store", "main.js");

const freePort = async (): Promise<number> => {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
};

/** Polls until a condition holds. Has no timeout of its own: if it hangs, the test runner's limit ends the test. */
const waitUntil = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
    while (!(await condition())) {
        await sleep(20);
    }
};

/** Starts the stand-in store process and returns a client factory. Stops the process and closes the clients after the test. */
const startStore = async (t: Test) => {
    const directory = mkdtempSync(join(tmpdir(), "standin-store-"));
    const address = `127.0.0.1:${await freePort()}`;
    const config = join(directory, "store.toml");
    writeFileSync(config, `listen = "${address}"\n`);
    const child: ChildProcess = spawn(process.execPath, [entryFile, "--config", config], { stdio: "ignore" });
    const clients: HttpKeyValueStore[] = [];
    const connect = (): HttpKeyValueStore => {
        const client = HttpKeyValueStore.create({ address, timeoutMs: 500, clock });
        clients.push(client);
        return client;
    };
    t.teardown(async () => {
        clients.forEach(client => client.close());
        child.kill("SIGTERM");
        await once(child, "exit");
        rmSync(directory, { recursive: true });
    });
    const probe = connect();
    await waitUntil(async () => (await probe.get("probe")).isOk());
    const setFault = async (body: object): Promise<void> => {
        await fetch(`http://${address}/v1/fault`, { method: "POST", body: JSON.stringify(body) });
    };
    return { connect, setFault };
};

/** Runs each loop as a fiber until the test ends. */
const runAll = (t: Test, ...loops: Effect.Effect<never>[]): void => {
    for (const fiber of loops.map(loop => Effect.runFork(loop))) {
        t.teardown(() => Effect.runPromise(Fiber.interrupt(fiber)));
    }
};

const startOwner = (t: Test, store: HttpKeyValueStore, owner: string, isPreferred: boolean) => {
    const lease = ProcessLease.create({ store, clock });
    const options = { store, lease, clock, cell: "a/0", owner, address: "127.0.0.1:1" };
    const ownership = CellOwnership.create({ ...options, isPreferred: () => isPreferred });
    runAll(t, lease.run(), ownership.run());
    return ownership;
};

const openLog = async (store: HttpKeyValueStore, ownership: CellOwnership) => {
    await waitUntil(() => ownership.epoch !== undefined);
    const state = ListStateMachine.create<string>();
    const epoch = ownership.epoch ?? 0;
    const options = { store, clock, cell: "a/0", owner: "s", epoch, state, commitIntervalMs: 20 };
    return { state, log: (await GroupCommitLog.open(options)).unwrap() };
};

// Guards against a store outage after which an acknowledged append is missing, the cell gets no new owner, or the
// previous owner's appends still succeed.
t.test("the owner's lease ends during a store outage, after lost responses", async t => {
    const { connect, setFault } = await startStore(t);
    const [first, second] = [connect(), connect()];
    const owner = startOwner(t, first, "s1", true);
    const { log } = await openLog(first, owner);
    runAll(t, log.run());
    t.ok((await log.append(["before"])).isOk());
    await setFault({ mode: "lose-answers", count: 3 });
    t.ok((await log.append(["lost answer"])).isOk());

    await setFault({ mode: "down" });
    const waiting = log.append(["in the outage"]);
    const pendingShortTimeout = log.append(["short timeout"], { queueTimeoutMs: 10 });
    await waitUntil(() => !owner.canGrant());
    // Longer than the rest of the TTL, so that the store expires the lease.
    await sleep(1500);
    await setFault({ mode: "none" });
    await waitUntil(() => owner.epoch !== undefined && owner.epoch > 1);
    t.ok((await waiting).isOk(), "no other process had claimed the cell");
    const shortTimeout = await pendingShortTimeout;

    await owner.release();
    const successor = startOwner(t, second, "s2", false);
    const next = await openLog(second, successor);
    t.strictSame(next.state.items.slice(0, 3), ["before", "lost answer", "in the outage"]);
    // Refused if it timed out before the commit; durable if its record may have been written.
    t.equal(shortTimeout.isOk(), next.state.items.includes("short timeout"));
    const stale = await log.append(["stale"]);
    t.equal(stale.isErr() && stale.error.code, ResultCode.StaleEpoch);
});

// Guards against two proposals that are both accepted for the same revision, and a revision that a watch misses.
t.test("concurrent proposals for one revision, then lost responses", async t => {
    const { connect, setFault } = await startStore(t);
    const read = (file: string): string =>
        readFileSync(join(process.cwd(), "examples", "agency", file), "utf8");
    const tables = { routes: read("routes.toml"), pools: read("pools.toml") };
    const feeds = [connect(), connect(), connect()].map(store => ConfigFeed.create({ store, clock }));
    runAll(t, ...feeds.map(feed => feed.run()));
    const results = await Promise.all(
        feeds.map((feed, index) => feed.propose(0, { changeId: `c${index}`, author: "o", ...tables })),
    );
    t.equal(results.filter(result => result.isOk()).length, 1);
    await waitUntil(() => feeds.every(feed => feed.revision === 1));
    // The watches and reads of all three feeds lose responses as well, so the operator may have to repeat the command.
    await setFault({ mode: "lose-answers", count: 8 });
    await waitUntil(async () => {
        const result = await feeds[0]?.propose(1, { changeId: "again", author: "o", ...tables });
        return result?.isOk() ?? false;
    });
    await waitUntil(() => feeds.every(feed => feed.applied?.document.changeId === "again"));
    t.equal(feeds[2]?.revision, 2);
});
