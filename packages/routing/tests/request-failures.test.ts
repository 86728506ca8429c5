import { connect } from "node:net";
import t from "tap";
import type { TestBackend as BackEndType } from "./test-backend.js";
import { httpResponse } from "./http-response.js";
import { TestBackend } from "./test-backend.js";
import { RequestTestHarness } from "./request-test-harness.js";

type Behaviour = Parameters<typeof TestBackend.start>[0];

interface Case {
    /** The failure that the case guards against. */
    readonly failure: string;
    readonly behaviour: Behaviour;
    readonly path: "/read" | "/order";
    readonly code: number;
    /** Sends counted at the back end. */
    readonly sends: number;
    readonly isAborted?: boolean;
    readonly body?: string;
}

const whole: Behaviour = (socket, request) => socket.write(httpResponse(`whole ${request.path}`));

/** Misbehaves for the first request only. */
const once =
    (first: Behaviour): Behaviour =>
    (socket, request, backEnd) =>
        (backEnd.received.length === 1 ? first : whole)(socket, request, backEnd);

const silent: Behaviour = () => undefined;
const half: Behaviour = socket => socket.end("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf");
const longHalf: Behaviour = socket => {
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n");
    setTimeout(() => socket.end("x".repeat(50_000)), 20);
};
const chunkedHalf: Behaviour = socket => {
    socket.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n");
    setTimeout(() => socket.end(), 20);
};
const closeAfterReading: Behaviour = socket => socket.destroy();
const reset: Behaviour = socket => socket.resetAndDestroy();
const refuse: Behaviour = socket =>
    socket.write(httpResponse("full", "samphireward-not-run: 1\r\n", "503 Service Unavailable"));
const malformed: Behaviour = socket => socket.write("this is not HTTP\r\n\r\n");
const badChunk: Behaviour = socket =>
    socket.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nnot-a-length\r\n");
const laterBadChunk: Behaviour = socket => {
    socket.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n");
    setTimeout(() => socket.write("not-a-length\r\n"), 20);
};
const noLength: Behaviour = socket => socket.end("HTTP/1.1 200 OK\r\n\r\nall or a part");
const otherId: Behaviour = socket =>
    socket.write(httpResponse("for another", "samphireward-request-id: other\r\n"));
const largeHeaders: Behaviour = socket =>
    socket.write(`HTTP/1.1 200 OK\r\nx-large: ${"y".repeat(40_000)}\r\ncontent-length: 0\r\n\r\n`);
const upgrade: Behaviour = socket =>
    socket.write("HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n");
const fail500: Behaviour = socket => socket.write(httpResponse("broken", "", "500 Internal Server Error"));

const cases: Case[] = [
    { failure: "accepts and never answers", behaviour: silent, path: "/order", code: 3000, sends: 1 },
    { failure: "half a short answer", behaviour: half, path: "/order", code: 3002, sends: 1 },
    { failure: "half a short answer, repeated", behaviour: once(half), path: "/read", code: 1000, sends: 2 },
    {
        failure: "half a long answer",
        behaviour: longHalf,
        path: "/read",
        code: 1000,
        sends: 1,
        isAborted: true,
    },
    {
        failure: "half a chunked answer",
        behaviour: chunkedHalf,
        path: "/read",
        code: 1000,
        sends: 1,
        isAborted: true,
    },
    { failure: "closes after reading", behaviour: closeAfterReading, path: "/order", code: 3001, sends: 1 },
    {
        failure: "closes after reading, repeated",
        behaviour: once(closeAfterReading),
        path: "/read",
        code: 1000,
        sends: 2,
    },
    { failure: "resets after reading", behaviour: reset, path: "/order", code: 3001, sends: 1 },
    { failure: "always resets", behaviour: reset, path: "/read", code: 3001, sends: 3 },
    { failure: "refuses once as not run", behaviour: once(refuse), path: "/order", code: 1000, sends: 2 },
    { failure: "always refuses as not run", behaviour: refuse, path: "/order", code: 2013, sends: 3 },
    { failure: "malformed answer", behaviour: malformed, path: "/order", code: 3003, sends: 1 },
    {
        failure: "malformed answer, repeated",
        behaviour: once(malformed),
        path: "/read",
        code: 1000,
        sends: 2,
    },
    { failure: "malformed first chunk", behaviour: badChunk, path: "/order", code: 3003, sends: 1 },
    {
        failure: "malformed first chunk, repeated",
        behaviour: once(badChunk),
        path: "/read",
        code: 1000,
        sends: 2,
    },
    {
        failure: "malformed later chunk",
        behaviour: laterBadChunk,
        path: "/read",
        code: 1000,
        sends: 1,
        isAborted: true,
    },
    { failure: "an answer without an end", behaviour: noLength, path: "/order", code: 3003, sends: 1 },
    { failure: "the answer to another request", behaviour: otherId, path: "/order", code: 3003, sends: 1 },
    {
        failure: "oversized headers of the answer",
        behaviour: largeHeaders,
        path: "/read",
        code: 3004,
        sends: 1,
    },
    {
        failure: "an answer that switches protocols",
        behaviour: upgrade,
        path: "/order",
        code: 3001,
        sends: 1,
    },
    {
        failure: "an error of the service is the target's own answer",
        behaviour: fail500,
        path: "/read",
        code: 1000,
        sends: 1,
        body: "broken",
    },
];

// Each case guards against the failure it names being passed on as something else, and against a request that
// reaches the back end more often than its code tells.
for (const { failure, behaviour, path, code, sends, isAborted = false, body } of cases) {
    t.test(`${failure} (${path})`, async t => {
        const backEnd = await TestBackend.start(behaviour);
        const rig = await RequestTestHarness.start();
        rig.grant([backEnd.address]);
        const got = await rig.call(path, { method: "POST", body: "payload" });
        t.equal(got.code, code);
        t.equal(got.isAborted, isAborted);
        t.equal(backEnd.received.length, sends);
        t.ok(backEnd.received.every(received => received.body === "payload"));
        if (code === 1000 && !isAborted) {
            t.equal(got.body, body ?? `whole ${path}`);
        }
        await rig.stop();
        t.equal(rig.records.length, 1);
        t.equal(rig.records[0]?.attempts, sends);
        await backEnd.stop();
    });
}

const setUp = async (behaviour: Behaviour): Promise<[BackEndType, RequestTestHarness]> => {
    const backEnd = await TestBackend.start(behaviour);
    const rig = await RequestTestHarness.start();
    rig.grant([backEnd.address]);
    return [backEnd, rig];
};

// Guards against "may have run" for a request of which no byte was sent.
t.test("no target listens", async t => {
    const [backEnd, rig] = await setUp(whole);
    await backEnd.stop();
    const got = await rig.call("/order", { method: "POST", body: "x" });
    t.equal(got.code, 2005);
    t.equal(backEnd.received.length, 0);
    await rig.stop();
});

// Guards against a request that is refused because all its sends went to workers of one lost data centre.
t.test("a data centre without a live worker is passed over", async t => {
    const [backEnd, rig] = await setUp(whole);
    rig.grant([backEnd.address], 4, "next");
    rig.grant(
        Array.from({ length: 5 }, (_, index) => `127.0.0.${index + 2}:9`),
        4,
        "near",
    );
    const got = await rig.call("/order", { method: "POST", body: "x" });
    t.equal(got.code, 1000);
    t.equal(backEnd.received.length, 1);
    await rig.stop();
    await backEnd.stop();
});

// Guards against a target that closes new connections before reading being taken for one that cannot have run.
t.test("closes before reading", async t => {
    const backEnd = await TestBackend.start(whole, socket => socket.destroy());
    const rig = await RequestTestHarness.start();
    rig.grant([backEnd.address]);
    const got = await rig.call("/order", { method: "POST", body: "x" });
    t.equal(got.code, 3001);
    t.equal(backEnd.connectionCount, 1);
    t.equal(backEnd.received.length, 0);
    await rig.stop();
    await backEnd.stop();
});

// Guards against a late answer that reaches the next caller of the same connection.
t.test("a late answer never reaches another caller", async t => {
    const [backEnd, rig] = await setUp((socket, request, self) => {
        const delayMs = self.received.length === 1 ? 300 : 0;
        setTimeout(() => socket.write(httpResponse(`for ${request.path}`)), delayMs);
    });
    const late = await rig.call("/order/a", {
        method: "POST",
        headers: { "samphireward-deadline-ms": "50" },
    });
    t.equal(late.code, 3000);
    const next = await rig.call("/order/b", { method: "POST" });
    t.equal(next.body, "for /order/b");
    t.equal(backEnd.connectionCount, 2);
    await rig.stop();
    await backEnd.stop();
});

// Guards against a second answer to one request being taken as the answer to the next request.
t.test("an answer nobody asked for closes the connection", async t => {
    const [backEnd, rig] = await setUp((socket, request) => {
        socket.write(httpResponse(`for ${request.path}`));
        setTimeout(() => socket.write(httpResponse("again")), 20);
    });
    await rig.call("/read/a");
    await new Promise(resolve => setTimeout(resolve, 100));
    t.equal((await rig.call("/read/b")).body, "for /read/b");
    t.equal(backEnd.connectionCount, 2);
    await rig.stop();
    await backEnd.stop();
});

// Guards against a non-idempotent request on a connection that the target may have closed in the meantime.
t.test("a non-idempotent request uses only a fresh or just validated connection", async t => {
    const backEnd = await TestBackend.start(whole);
    const rig = await RequestTestHarness.start({ settings: { validatedMs: 100, idleMs: 60_000 } });
    rig.grant([backEnd.address]);
    await rig.call("/order");
    await rig.call("/order");
    t.equal(backEnd.connectionCount, 1);
    await new Promise(resolve => setTimeout(resolve, 150));
    await rig.call("/read");
    await new Promise(resolve => setTimeout(resolve, 150));
    t.equal(backEnd.connectionCount, 1);
    await rig.call("/order");
    t.equal(backEnd.connectionCount, 2);
    await rig.stop();
    await backEnd.stop();
});

// Guards against a truncated answer that an HTTP/1.0 caller takes for the whole one.
t.test("an HTTP/1.0 caller sees the abort", async t => {
    const [backEnd, rig] = await setUp(chunkedHalf);
    const socket = connect(rig.port, "127.0.0.1");
    let text = "";
    const ended = new Promise<string>(resolve => {
        socket.on("data", (chunk: Buffer) => (text += chunk.toString()));
        socket.on("end", () => resolve("end"));
        socket.on("error", (err: NodeJS.ErrnoException) => resolve(err.code ?? ""));
    });
    socket.write("GET /read HTTP/1.0\r\n\r\n");
    t.equal(await ended, "ECONNRESET");
    t.match(text, /hello/);
    await rig.stop();
    t.equal(rig.records[0]?.code, 3002);
    await backEnd.stop();
});

// Guards against answers without a body that wait for one, or that are taken for answers without an end.
t.test("answers that have no body", async t => {
    const [backEnd, rig] = await setUp((socket, request) =>
        socket.write(
            request.method === "HEAD"
                ? "HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n"
                : "HTTP/1.1 204 No Content\r\n\r\n",
        ),
    );
    const head = await rig.call("/read", { method: "HEAD" });
    t.strictSame([head.code, head.headers["content-length"], head.body], [1000, "500", ""]);
    const empty = await rig.call("/read", { method: "DELETE" });
    t.strictSame([empty.code, empty.status, empty.body], [1000, 204, ""]);
    t.equal(backEnd.connectionCount, 1);
    await rig.stop();
    await backEnd.stop();
});
