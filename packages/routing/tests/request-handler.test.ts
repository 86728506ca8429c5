import { request } from "node:http";
import { connect } from "node:net";
import t from "tap";
import { KeyClaimer } from "../src/key-claimer.js";
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

const respond: Behaviour = (socket, received) => socket.write(httpResponse(`whole ${received.path}`));

const respondAfter =
    (delayMs: number): Behaviour =>
    (socket, received) =>
        setTimeout(() => socket.write(httpResponse(`whole ${received.path}`)), delayMs);

const setUp = async (
    behaviours: readonly Behaviour[],
    options: Parameters<typeof RequestTestHarness.start>[0] = {},
    slots = 4,
): Promise<{
    harness: RequestTestHarness;
    backEnds: TestBackend[];
    first: TestBackend;
    stop: () => Promise<void>;
}> => {
    const backEnds = await Promise.all(behaviours.map(behaviour => TestBackend.start(behaviour)));
    const harness = await RequestTestHarness.start(options);
    harness.grant(
        backEnds.map(each => each.address),
        slots,
    );
    const stop = async (): Promise<void> => {
        await harness.stop();
        await Promise.all(backEnds.map(each => each.stop()));
    };
    return { harness, backEnds, first: backEnds[0] as TestBackend, stop };
};

// Guards against requests that wait until their deadline on connections that were lost without a close.
t.test("a request is hedged when its connection is silent and new connections work", async t => {
    let isCut = false;
    const { harness, first, stop } = await setUp([
        (socket, received, backEnd) => {
            if (!isCut || received.connectionNumber > 3) {
                respondAfter(20)(socket, received, backEnd);
            }
        },
    ]);
    await harness.warmUp();
    await Promise.all(Array.from({ length: 3 }, () => harness.call("/read")));
    t.equal(first.connectionCount, 3);
    isCut = true;
    const result = await harness.call("/read/x");
    t.equal(result.body, "whole /read/x");
    t.equal(first.received.filter(received => received.path === "/read/x").length, 2);
    t.equal(first.probeCount, 1);
    t.equal(harness.counters.get("connections.silent"), 1);
    const next = await harness.call("/order/y");
    t.equal(next.code, 1000, "the other silent connections are closed");
    t.equal(first.received.filter(received => received.path === "/order/y").length, 1);
    await stop();
});

// Guards against a slow back end being taken for a lost connection: its first response must count.
t.test("a slow back end is not taken for a lost connection", async t => {
    const { harness, first, stop } = await setUp([respondAfter(450)]);
    const fast = await harness.call("/read/a");
    t.equal(fast.body, "whole /read/a", "answered, although a second attempt would end after the deadline");
    first.isHealthy = false;
    await harness.call("/read/b");
    t.equal(
        first.received.filter(received => received.path === "/read/b").length,
        1,
        "slow probe: one attempt",
    );
    const order = await harness.call("/order/c");
    t.equal(order.code, 1000);
    t.equal(first.received.filter(received => received.path === "/order/c").length, 1);
    await stop();
});

// Guards against a target that attracts requests by failing fast, and against ejecting more than half of a pool.
t.test("a target that fails everything is ejected", async t => {
    const fail: Behaviour = socket => socket.write(httpResponse("no", "", "500 Internal Server Error"));
    const { harness, backEnds, stop } = await setUp([fail, respondAfter(5), respondAfter(5)]);
    for (let round = 0; round < 15; round += 1) {
        await Promise.all(Array.from({ length: 8 }, () => harness.call("/read")));
    }
    const [failing = 0, ...good] = backEnds.map(each => each.received.length);
    t.ok(failing <= 8, `${failing} of 120 reached the failing target`);
    t.equal(failing + good.reduce((a, b) => a + b, 0), 120);
    await stop();
});

// Guards against ejecting most of a pool, and with it the capacity, when many of its targets fail.
t.test("at most half of a pool is ejected", async t => {
    const refuse: Behaviour = socket => socket.destroy();
    const { harness, backEnds, stop } = await setUp([refuse, refuse, refuse, respond]);
    for (let index = 0; index < 80; index += 1) {
        await harness.call("/read");
    }
    const reached = backEnds.filter(each => each.received.length > 0).length;
    t.equal(reached, 4);
    const before = backEnds.map(each => each.received.length);
    for (let index = 0; index < 40; index += 1) {
        await harness.call("/read");
    }
    const stillUsed = backEnds.filter((each, index) => each.received.length > (before[index] ?? 0));
    t.ok(stillUsed.length >= 1 && stillUsed.length <= 2, `${stillUsed.length} of 4 in use`);
    await stop();
});

// Guards against a burst of requests to a target that has just become reachable.
t.test("a target starts with one slot", async t => {
    let running = 0;
    let maxRunning = 0;
    const { harness, stop } = await setUp([
        (socket, received, backEnd) => {
            running += 1;
            maxRunning = Math.max(maxRunning, running);
            setTimeout(() => {
                running -= 1;
                respond(socket, received, backEnd);
            }, 30);
        },
    ]);
    const first = harness.call("/read");
    const others = Array.from({ length: 3 }, () => harness.call("/read"));
    await first;
    t.equal(maxRunning, 1);
    await Promise.all(others);
    await Promise.all(Array.from({ length: 8 }, () => harness.call("/slow")));
    t.equal(maxRunning, 4, "never more slots than the share");
    await stop();
});

// Guards against new requests to a target after it, or a peer, has reported that it is leaving.
t.test("a leaving target gets no new requests", async t => {
    const leave: Behaviour = socket =>
        socket.end(httpResponse("bye", "connection: close\r\nsamphireward-leaving: 1\r\n"));
    const { harness, backEnds, first, stop } = await setUp([leave, respond, respond]);
    await waitUntil(() => {
        void harness.call("/read");
        return first.received.length > 0;
    });
    await waitUntil(() => harness.handler.activeCount === 0);
    t.strictSame(harness.shares.selfReportedLeaving(), [first.address]);
    const seen = first.received.length;
    harness.shares.setLeavingWorkers(new Set([backEnds[1]?.address ?? ""]));
    const others = backEnds[1]?.received.length;
    for (let index = 0; index < 20; index += 1) {
        t.equal((await harness.call("/order")).code, 1000);
    }
    t.equal(first.received.length, seen);
    t.equal(backEnds[1]?.received.length, others);
    await stop();
});

// Guards against use of an expired share.
t.test("nothing is sent without a valid share", async t => {
    const { harness, first, stop } = await setUp([respond]);
    harness.grant([first.address], 4, "near", 30);
    await sleep(40);
    const result = await harness.call("/order", { headers: { "samphireward-deadline-ms": "60" } });
    t.equal(result.code, 2005);
    t.equal(first.received.length, 0);
    await stop();
});

// Guards against requests that leave the data centre or the region unnecessarily.
t.test("the nearest target with a free slot is used", async t => {
    const start = (): Promise<TestBackend> => TestBackend.start(respondAfter(60));
    const [near, next, far] = await Promise.all([start(), start(), start()]);
    const harness = await RequestTestHarness.start();
    harness.grant([near.address], 1, "near");
    harness.grant([next.address], 1, "next");
    harness.grant([far.address], 1, "far");
    const counts = (): unknown[] => [near, next, far].map(each => each.received.length);
    await harness.call("/read");
    t.strictSame(counts(), [1, 0, 0]);
    await Promise.all([harness.call("/read"), harness.call("/read")]);
    t.strictSame(counts(), [2, 1, 0]);
    await Promise.all([harness.call("/read"), harness.call("/read"), harness.call("/read")]);
    t.strictSame(counts(), [3, 2, 1]);
    t.ok((harness.handler.linkBytes()["north-south.in"] ?? 0) >= 50);
    t.ok((harness.handler.linkBytes()["north-south.out"] ?? 0) > 50);
    await harness.stop();
    await Promise.all([near, next, far].map(each => each.stop()));
});

// Guards against requests that use the full capacity of the link between the regions.
t.test("bytes over the link are limited", async t => {
    const far = await TestBackend.start((socket, received) =>
        socket.write(httpResponse("z".repeat(received.path === "/slow/long" ? 250_000 : 5_000))),
    );
    const harness = await RequestTestHarness.start({ bitsPerSecond: 1_600_000 });
    harness.grant([far.address], 4, "far");
    const startMs = harness.clock.nowMs();
    const long = await harness.call("/slow/long");
    t.equal(long.body.length, 250_000);
    // The rate is 200 kB/s with a burst of 50 kB; the last chunk of 64 kB is forwarded before the delay that it
    // causes.
    t.ok(harness.clock.nowMs() - startMs > 300, "a long response is throttled");
    const codes: number[] = [];
    for (let index = 0; index < 3; index += 1) {
        codes.push((await harness.call("/read")).code);
    }
    t.ok(codes.includes(2012), codes.join(" "));
    t.equal(far.received.length, 1 + codes.filter(code => code === 1000).length);
    await harness.stop();
    await far.stop();
});

// Guards against a burst of one customer that starves the others, an unbounded queue, and dispatch after the
// deadline.
t.test("queues are bounded and fair, and drop requests that are too late", async t => {
    const { harness, first, stop } = await setUp([respondAfter(40)], {}, 1);
    const send = (path: string, customer: string, deadlineMs = 5_000): Promise<{ code: number }> =>
        harness.call(path, {
            headers: {
                "samphireward-customer": customer,
                "samphireward-deadline-ms": String(deadlineMs),
            },
        });
    const running = send("/slow/running", "big");
    await waitUntil(() => first.received.length === 1);
    const big = Array.from({ length: 7 }, (_, index) => send(`/slow/big${index}`, "big"));
    await waitUntil(() => harness.records.length === 1);
    const small = send("/slow/small", "small");
    const late = send("/slow/late", "late", 30);
    t.equal((await late).code, 2003);
    await running;
    await small;
    const order = first.received.map(received => received.path);
    t.ok(order.indexOf("/slow/small") <= 2, order.join(" "));
    t.notOk(order.includes("/slow/late"));
    const codes = (await Promise.all(big)).map(each => each.code);
    t.equal(
        codes.filter(code => code === 2002).length,
        3,
        "one was not queued, two were dropped in favour of others",
    );
    t.equal(first.received.length, 6);
    await stop();
});

// Guards against retries that amplify an overload.
t.test("retries are limited to a fraction of the load", async t => {
    const refuse: Behaviour = socket =>
        socket.write(httpResponse("full", "samphireward-not-run: 1\r\n", "503 Service Unavailable"));
    const { harness, first, stop } = await setUp([refuse]);
    for (let index = 0; index < 100; index += 1) {
        await harness.call("/read");
    }
    t.ok(first.received.length <= 100 + 10 + 10, `${first.received.length} attempts of 100 requests`);
    t.ok(harness.records.some(record => record.code === 2009));
    await stop();
});

// Guards against a request with a key that is sent without a claim, and against a claim that is kept by a request
// that did not run.
t.test("a request with an idempotency key is sent only with a granted claim", async t => {
    const { harness, first, stop } = await setUp([respond]);
    const call = (path = "/order"): Promise<{ code: number }> =>
        harness.call(path, { method: "POST", headers: { "idempotency-key": "k1" } });
    const refused: [KeyClaimResult | Error, number][] = [
        [KeyClaimResult.AlreadyUsed, 2014],
        [KeyClaimResult.NotReady, 2010],
        [KeyClaimResult.Full, 2010],
        [new Error("the owner cannot be reached"), 2010],
    ];
    for (const [result, code] of refused) {
        harness.claimer.result = result;
        t.equal((await call()).code, code);
    }
    t.equal(first.received.length, 0);
    t.equal((await call("/read")).code, 1000, "a key has no meaning on an idempotent route");
    harness.claimer.result = KeyClaimResult.Granted;
    t.equal((await call()).code, 1000);
    t.strictSame(harness.claimer.released, []);
    await first.stop();
    t.equal((await call()).code, 2005);
    t.strictSame(harness.claimer.released, ["order\n\nk1"]);
    await stop();
});

class FaultyKeyClaimer extends KeyClaimer {
    override claim(): never {
        throw new TypeError("unexpected");
    }

    override release(): void {}
}

// Guards against an error after a request was queued that ends the process or leaves the request unanswered.
t.test("a request whose claim fails unexpectedly is answered with 500", async t => {
    const { harness, first, stop } = await setUp([respond], { claimer: new FaultyKeyClaimer() }, 1);
    const headers = { "idempotency-key": "k1" };
    for (let count = 1; count <= 3; count += 1) {
        t.match(await harness.call("/order", { method: "POST", headers }), { status: 500, code: 3006 });
        t.equal(harness.unexpectedErrors.length, count);
    }
    t.equal((await harness.call("/read")).code, 1000, "the only slot is free again");
    t.equal(first.received.length, 1);
    await stop();
});

// Guards against continuing a request whose caller has disconnected, and against reuse of its connection.
t.test("a request is abandoned when its caller disconnects", async t => {
    const { harness, first, stop } = await setUp([respondAfter(100)]);
    const req = request({ host: "127.0.0.1", port: harness.port, path: "/read/gone" });
    req.on("error", () => undefined);
    req.end();
    await waitUntil(() => first.received.length === 1);
    req.destroy();
    await waitUntil(() => harness.records.length === 1);
    t.equal(harness.records[0]?.code, 4000);
    t.equal((await harness.call("/read/next")).body, "whole /read/next");
    t.equal(first.connectionCount, 2);
    await stop();
});

// Guards against buffering a complete long response for a caller that reads slowly.
t.test("long responses are streamed with back-pressure", async t => {
    const total = 64 * 1024 * 1024;
    const piece = Buffer.alloc(64 * 1024, "b");
    let written = 0;
    const { harness, first, stop } = await setUp([
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
    const socket = connect(harness.port, "127.0.0.1");
    socket.write("GET /slow HTTP/1.1\r\nhost: x\r\n\r\n");
    await waitUntil(() => first.received.length === 1);
    await sleep(300);
    t.ok(written < total / 2, `${written} bytes sent while the caller read nothing`);
    let received = 0;
    socket.on("data", (chunk: Buffer) => (received += chunk.length));
    await waitUntil(() => received > total);
    await waitUntil(() => harness.records.length === 1);
    t.equal(harness.records[0]?.code, 1000);
    socket.destroy();
    await stop();
});

// Guards against a planned stop that interrupts a request.
t.test("drain waits for all requests and refuses new ones", async t => {
    const { harness, first, stop } = await setUp([respondAfter(150)]);
    const running = harness.call("/order");
    await waitUntil(() => first.received.length === 1);
    let isDrained = false;
    const drained = harness.handler.drain().then(() => (isDrained = true));
    t.equal((await harness.call("/order")).code, 2008);
    t.equal(isDrained, false);
    t.equal((await running).body, "whole /order");
    await drained;
    t.equal(harness.handler.activeCount, 0);
    t.equal(first.received.length, 1);
    await stop();
});
