import { request } from "node:http";
import { connect } from "node:net";
import t from "tap";
import { KeyClaimResult } from "../src/key-claim-result.js";
import { httpResponse } from "./http-response.js";
import { TestBackend } from "./test-backend.js";
import { RequestTestHarness } from "./request-test-harness.js";

type Behaviour = Parameters<typeof TestBackend.start>[0];

const sleep = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));

const waitUntil = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await sleep(5);
    }
};

const whole: Behaviour = (socket, received) => socket.write(httpResponse(`whole ${received.path}`));

const after =
    (delayMs: number): Behaviour =>
    (socket, received) =>
        setTimeout(() => socket.write(httpResponse(`whole ${received.path}`)), delayMs);

const setUp = async (
    behaviours: readonly Behaviour[],
    options: Parameters<typeof RequestTestHarness.start>[0] = {},
    slots = 4,
): Promise<{
    rig: RequestTestHarness;
    backEnds: TestBackend[];
    first: TestBackend;
    stop: () => Promise<void>;
}> => {
    const backEnds = await Promise.all(behaviours.map(behaviour => TestBackend.start(behaviour)));
    const rig = await RequestTestHarness.start(options);
    rig.grant(
        backEnds.map(each => each.address),
        slots,
    );
    const stop = async (): Promise<void> => {
        await rig.stop();
        await Promise.all(backEnds.map(each => each.stop()));
    };
    return { rig, backEnds, first: backEnds[0] as TestBackend, stop };
};

// Guards against requests that wait until their deadline on connections that have silently been lost.
t.test("connections that go silent while new ones work", async t => {
    let isCut = false;
    const { rig, first, stop } = await setUp([
        (socket, received, backEnd) => {
            if (!isCut || received.connectionNumber > 3) {
                after(20)(socket, received, backEnd);
            }
        },
    ]);
    await rig.warmUp();
    await Promise.all(Array.from({ length: 3 }, () => rig.call("/read")));
    t.equal(first.connectionCount, 3);
    isCut = true;
    const got = await rig.call("/read/x");
    t.equal(got.body, "whole /read/x");
    t.equal(first.received.filter(received => received.path === "/read/x").length, 2);
    t.equal(first.probeCount, 1);
    t.equal(rig.counters.get("connections.silent"), 1);
    const next = await rig.call("/order/y");
    t.equal(next.code, 1000, "the other silent connections are closed");
    t.equal(first.received.filter(received => received.path === "/order/y").length, 1);
    await stop();
});

// Guards against a slow back end being taken for a lost connection: its first answer must count.
t.test("a slow back end is not taken for a lost connection", async t => {
    const { rig, first, stop } = await setUp([after(450)]);
    const fast = await rig.call("/read/a");
    t.equal(fast.body, "whole /read/a", "answered, although a second send would end after the deadline");
    first.isHealthy = false;
    await rig.call("/read/b");
    t.equal(first.received.filter(received => received.path === "/read/b").length, 1, "slow probe: one send");
    const order = await rig.call("/order/c");
    t.equal(order.code, 1000);
    t.equal(first.received.filter(received => received.path === "/order/c").length, 1);
    await stop();
});

// Guards against a target that attracts work by failing fast, and against ejecting more than half of a pool.
t.test("a target that fails everything is ejected", async t => {
    const fail: Behaviour = socket => socket.write(httpResponse("no", "", "500 Internal Server Error"));
    const { rig, backEnds, stop } = await setUp([fail, after(5), after(5)]);
    for (let round = 0; round < 15; round += 1) {
        await Promise.all(Array.from({ length: 8 }, () => rig.call("/read")));
    }
    const [failing = 0, ...good] = backEnds.map(each => each.received.length);
    t.ok(failing <= 8, `${failing} of 120 reached the failing target`);
    t.equal(failing + good.reduce((a, b) => a + b, 0), 120);
    await stop();
});

// Guards against a pool that loses most of its targets, and with them its capacity, when many of them fail.
t.test("at most half of a pool is ejected", async t => {
    const refuse: Behaviour = socket => socket.destroy();
    const { rig, backEnds, stop } = await setUp([refuse, refuse, refuse, whole]);
    for (let index = 0; index < 80; index += 1) {
        await rig.call("/read");
    }
    const reached = backEnds.filter(each => each.received.length > 0).length;
    t.equal(reached, 4);
    const before = backEnds.map(each => each.received.length);
    for (let index = 0; index < 40; index += 1) {
        await rig.call("/read");
    }
    const stillUsed = backEnds.filter((each, index) => each.received.length > (before[index] ?? 0));
    t.ok(stillUsed.length >= 1 && stillUsed.length <= 2, `${stillUsed.length} of 4 in use`);
    await stop();
});

// Guards against a burst that meets a target which has just returned.
t.test("a target begins with one slot", async t => {
    let running = 0;
    let most = 0;
    const { rig, stop } = await setUp([
        (socket, received, backEnd) => {
            running += 1;
            most = Math.max(most, running);
            setTimeout(() => {
                running -= 1;
                whole(socket, received, backEnd);
            }, 30);
        },
    ]);
    const first = rig.call("/read");
    const others = Array.from({ length: 3 }, () => rig.call("/read"));
    await first;
    t.equal(most, 1);
    await Promise.all(others);
    await Promise.all(Array.from({ length: 8 }, () => rig.call("/slow")));
    t.equal(most, 4, "never more than the share");
    await stop();
});

// Guards against work for a target after it, or a peer, has said that it leaves.
t.test("a leaving target gets nothing new", async t => {
    const leave: Behaviour = socket =>
        socket.end(httpResponse("bye", "connection: close\r\nsamphireward-leaving: 1\r\n"));
    const { rig, backEnds, first, stop } = await setUp([leave, whole, whole]);
    await waitUntil(() => {
        void rig.call("/read");
        return first.received.length > 0;
    });
    await waitUntil(() => rig.handler.activeCount === 0);
    t.strictSame(rig.shares.selfReportedLeaving(), [first.address]);
    const seen = first.received.length;
    rig.shares.setLeavingWorkers(new Set([backEnds[1]?.address ?? ""]));
    const others = backEnds[1]?.received.length;
    for (let index = 0; index < 20; index += 1) {
        t.equal((await rig.call("/order")).code, 1000);
    }
    t.equal(first.received.length, seen);
    t.equal(backEnds[1]?.received.length, others);
    await stop();
});

// Guards against a share that is used after its expiry.
t.test("nothing is sent without a share", async t => {
    const { rig, first, stop } = await setUp([whole]);
    rig.grant([first.address], 4, "near", 30);
    await sleep(40);
    const got = await rig.call("/order", { headers: { "samphireward-deadline-ms": "60" } });
    t.equal(got.code, 2005);
    t.equal(first.received.length, 0);
    await stop();
});

// Guards against requests that leave the data centre, and then the region, without need.
t.test("the nearest target with a free slot is used", async t => {
    const start = (): Promise<TestBackend> => TestBackend.start(after(60));
    const [near, next, far] = await Promise.all([start(), start(), start()]);
    const rig = await RequestTestHarness.start();
    rig.grant([near.address], 1, "near");
    rig.grant([next.address], 1, "next");
    rig.grant([far.address], 1, "far");
    const counts = (): unknown[] => [near, next, far].map(each => each.received.length);
    await rig.call("/read");
    t.strictSame(counts(), [1, 0, 0]);
    await Promise.all([rig.call("/read"), rig.call("/read")]);
    t.strictSame(counts(), [2, 1, 0]);
    await Promise.all([rig.call("/read"), rig.call("/read"), rig.call("/read")]);
    t.strictSame(counts(), [3, 2, 1]);
    t.ok((rig.handler.linkBytes()["north-south.in"] ?? 0) >= 50);
    t.ok((rig.handler.linkBytes()["north-south.out"] ?? 0) > 50);
    await rig.stop();
    await Promise.all([near, next, far].map(each => each.stop()));
});

// Guards against requests of this system that take the whole link between the regions.
t.test("bytes over the link are bounded", async t => {
    const far = await TestBackend.start((socket, received) =>
        socket.write(httpResponse("z".repeat(received.path === "/slow/long" ? 250_000 : 5_000))),
    );
    const rig = await RequestTestHarness.start({ bitsPerSecond: 1_600_000 });
    rig.grant([far.address], 4, "far");
    const startMs = rig.clock.nowMs();
    const long = await rig.call("/slow/long");
    t.equal(long.body.length, 250_000);
    // The rate is 200 kB/s with a burst of 50 kB; the last chunk of 64 kB is passed on before its time.
    t.ok(rig.clock.nowMs() - startMs > 300, "a long answer is slowed down");
    const codes: number[] = [];
    for (let index = 0; index < 3; index += 1) {
        codes.push((await rig.call("/read")).code);
    }
    t.ok(codes.includes(2012), codes.join(" "));
    t.equal(far.received.length, 1 + codes.filter(code => code === 1000).length);
    await rig.stop();
    await far.stop();
});

// Guards against one customer's burst that keeps the others waiting, an unbounded queue, and late dispatch.
t.test("queues are bounded, fair and drop what is too late", async t => {
    const { rig, first, stop } = await setUp([after(40)], {}, 1);
    const send = (path: string, customer: string, deadlineMs = 5_000): Promise<{ code: number }> =>
        rig.call(path, {
            headers: {
                "samphireward-customer": customer,
                "samphireward-deadline-ms": String(deadlineMs),
            },
        });
    const running = send("/slow/running", "big");
    await waitUntil(() => first.received.length === 1);
    const big = Array.from({ length: 7 }, (_, index) => send(`/slow/big${index}`, "big"));
    await waitUntil(() => rig.records.length === 1);
    const small = send("/slow/small", "small");
    const late = send("/slow/late", "late", 30);
    t.equal((await late).code, 2003);
    await running;
    await small;
    const order = first.received.map(received => received.path);
    t.ok(order.indexOf("/slow/small") <= 2, order.join(" "));
    t.notOk(order.includes("/slow/late"));
    const codes = (await Promise.all(big)).map(each => each.code);
    t.equal(codes.filter(code => code === 2002).length, 3, "one found no place, two made room");
    t.equal(first.received.length, 6);
    await stop();
});

// Guards against retries that add to an overload.
t.test("retries are a bounded share of the load", async t => {
    const refuse: Behaviour = socket =>
        socket.write(httpResponse("full", "samphireward-not-run: 1\r\n", "503 Service Unavailable"));
    const { rig, first, stop } = await setUp([refuse]);
    for (let index = 0; index < 100; index += 1) {
        await rig.call("/read");
    }
    t.ok(first.received.length <= 100 + 10 + 10, `${first.received.length} sends of 100 requests`);
    t.ok(rig.records.some(record => record.code === 2009));
    await stop();
});

// Guards against a request with a key that is sent without a claim, and a claim that a refused request keeps.
t.test("idempotency keys", async t => {
    const { rig, first, stop } = await setUp([whole]);
    const call = (path = "/order"): Promise<{ code: number }> =>
        rig.call(path, { method: "POST", headers: { "idempotency-key": "k1" } });
    const refused: [KeyClaimResult | Error, number][] = [
        [KeyClaimResult.AlreadyUsed, 2014],
        [KeyClaimResult.NotReady, 2010],
        [KeyClaimResult.Full, 2010],
        [new Error("the owner cannot be reached"), 2010],
    ];
    for (const [result, code] of refused) {
        rig.claimer.result = result;
        t.equal((await call()).code, code);
    }
    t.equal(first.received.length, 0);
    t.equal((await call("/read")).code, 1000, "a key has no meaning on an idempotent route");
    rig.claimer.result = KeyClaimResult.Granted;
    t.equal((await call()).code, 1000);
    t.strictSame(rig.claimer.released, []);
    await first.stop();
    t.equal((await call()).code, 2005);
    t.strictSame(rig.claimer.released, ["order\n\nk1"]);
    await stop();
});

// Guards against work for a caller that has left, and its answer on a connection that is used again.
t.test("a caller that leaves", async t => {
    const { rig, first, stop } = await setUp([after(100)]);
    const req = request({ host: "127.0.0.1", port: rig.port, path: "/read/gone" });
    req.on("error", () => undefined);
    req.end();
    await waitUntil(() => first.received.length === 1);
    req.destroy();
    await waitUntil(() => rig.records.length === 1);
    t.equal(rig.records[0]?.code, 4000);
    t.equal((await rig.call("/read/next")).body, "whole /read/next");
    t.equal(first.connectionCount, 2);
    await stop();
});

// Guards against a long answer that is held whole for a caller that reads slowly.
t.test("long answers are streamed with back-pressure", async t => {
    const total = 64 * 1024 * 1024;
    const piece = Buffer.alloc(64 * 1024, "b");
    let written = 0;
    const { rig, first, stop } = await setUp([
        socket => {
            socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${total}\r\n\r\n`);
            const push = (): void => {
                while (written < total) {
                    written += piece.length;
                    if (!socket.write(piece)) {
                        socket.once("drain", push);
                        return;
                    }
                }
            };
            push();
        },
    ]);
    const socket = connect(rig.port, "127.0.0.1");
    socket.write("GET /slow HTTP/1.1\r\nhost: x\r\n\r\n");
    await waitUntil(() => first.received.length === 1);
    await sleep(300);
    t.ok(written < total / 2, `${written} bytes sent while the caller read nothing`);
    let received = 0;
    socket.on("data", (chunk: Buffer) => (received += chunk.length));
    await waitUntil(() => received > total);
    await waitUntil(() => rig.records.length === 1);
    t.equal(rig.records[0]?.code, 1000);
    socket.destroy();
    await stop();
});

// Guards against a planned stop that cuts a request short.
t.test("drain waits for all requests and refuses new ones", async t => {
    const { rig, first, stop } = await setUp([after(150)]);
    const running = rig.call("/order");
    await waitUntil(() => first.received.length === 1);
    let isDrained = false;
    const drained = rig.handler.drain().then(() => (isDrained = true));
    t.equal((await rig.call("/order")).code, 2008);
    t.equal(isDrained, false);
    t.equal((await running).body, "whole /order");
    await drained;
    t.equal(rig.handler.activeCount, 0);
    t.equal(first.received.length, 1);
    await stop();
});
