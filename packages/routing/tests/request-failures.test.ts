import { connect } from "node:net";
import t from "tap";
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
    /** Number of requests received by the back end. */
    readonly attemptCount: number;
    readonly isAborted?: boolean;
    readonly body?: string;
}

const respond: Behaviour = (socket, request) => socket.write(httpResponse(`whole ${request.path}`));

/** Applies `first` to the first request only. */
const firstOnly =
    (first: Behaviour): Behaviour =>
    (socket, request, backEnd) =>
        (backEnd.received.length === 1 ? first : respond)(socket, request, backEnd);

const neverRespond: Behaviour = () => undefined;
const truncatedShort: Behaviour = socket => socket.end("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf");
const truncatedLong: Behaviour = socket => {
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n");
    setTimeout(() => socket.end("x".repeat(50_000)), 20);
};
const truncatedChunked: Behaviour = socket => {
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
    {
        failure: "accepts and never responds",
        behaviour: neverRespond,
        path: "/order",
        code: 3000,
        attemptCount: 1,
    },
    {
        failure: "truncated short response",
        behaviour: truncatedShort,
        path: "/order",
        code: 3002,
        attemptCount: 1,
    },
    {
        failure: "truncated short response, retried",
        behaviour: firstOnly(truncatedShort),
        path: "/read",
        code: 1000,
        attemptCount: 2,
    },
    {
        failure: "truncated long response",
        behaviour: truncatedLong,
        path: "/read",
        code: 1000,
        attemptCount: 1,
        isAborted: true,
    },
    {
        failure: "truncated chunked response",
        behaviour: truncatedChunked,
        path: "/read",
        code: 1000,
        attemptCount: 1,
        isAborted: true,
    },
    {
        failure: "closes after reading",
        behaviour: closeAfterReading,
        path: "/order",
        code: 3001,
        attemptCount: 1,
    },
    {
        failure: "closes after reading, retried",
        behaviour: firstOnly(closeAfterReading),
        path: "/read",
        code: 1000,
        attemptCount: 2,
    },
    { failure: "resets after reading", behaviour: reset, path: "/order", code: 3001, attemptCount: 1 },
    { failure: "always resets", behaviour: reset, path: "/read", code: 3001, attemptCount: 3 },
    {
        failure: "refuses once as not run",
        behaviour: firstOnly(refuse),
        path: "/order",
        code: 1000,
        attemptCount: 2,
    },
    { failure: "always refuses as not run", behaviour: refuse, path: "/order", code: 2013, attemptCount: 3 },
    { failure: "malformed response", behaviour: malformed, path: "/order", code: 3003, attemptCount: 1 },
    {
        failure: "malformed response, retried",
        behaviour: firstOnly(malformed),
        path: "/read",
        code: 1000,
        attemptCount: 2,
    },
    { failure: "malformed first chunk", behaviour: badChunk, path: "/order", code: 3003, attemptCount: 1 },
    {
        failure: "malformed first chunk, retried",
        behaviour: firstOnly(badChunk),
        path: "/read",
        code: 1000,
        attemptCount: 2,
    },
    {
        failure: "malformed later chunk",
        behaviour: laterBadChunk,
        path: "/read",
        code: 1000,
        attemptCount: 1,
        isAborted: true,
    },
    {
        failure: "response without content-length or chunked encoding",
        behaviour: noLength,
        path: "/order",
        code: 3003,
        attemptCount: 1,
    },
    {
        failure: "response to another request",
        behaviour: otherId,
        path: "/order",
        code: 3003,
        attemptCount: 1,
    },
    {
        failure: "oversized response headers",
        behaviour: largeHeaders,
        path: "/read",
        code: 3004,
        attemptCount: 1,
    },
    {
        failure: "response that switches protocols",
        behaviour: upgrade,
        path: "/order",
        code: 3001,
        attemptCount: 1,
    },
    {
        failure: "error response of the service, which is forwarded",
        behaviour: fail500,
        path: "/read",
        code: 1000,
        attemptCount: 1,
        body: "broken",
    },
];

// Each case guards against the named failure being reported as something else, and against a request that reaches
// the back end more often than its result code implies.
for (const { failure, behaviour, path, code, attemptCount, isAborted = false, body } of cases) {
    t.test(`${failure} (${path})`, async t => {
        const backEnd = await TestBackend.start(behaviour);
        const harness = await RequestTestHarness.start();
        harness.grant([backEnd.address]);
        const result = await harness.call(path, { method: "POST", body: "payload" });
        t.equal(result.code, code);
        t.equal(result.isAborted, isAborted);
        t.equal(backEnd.received.length, attemptCount);
        t.ok(backEnd.received.every(received => received.body === "payload"));
        if (code === 1000 && !isAborted) {
            t.equal(result.body, body ?? `whole ${path}`);
        }
        await harness.stop();
        t.equal(harness.records.length, 1);
        t.equal(harness.records[0]?.attemptCount, attemptCount);
        await backEnd.stop();
    });
}

const setUp = async (behaviour: Behaviour): Promise<[TestBackend, RequestTestHarness]> => {
    const backEnd = await TestBackend.start(behaviour);
    const harness = await RequestTestHarness.start();
    harness.grant([backEnd.address]);
    return [backEnd, harness];
};

// Guards against a "may have run" result code for a request of which no byte was sent.
t.test("no target accepts connections", async t => {
    const [backEnd, harness] = await setUp(respond);
    await backEnd.stop();
    const result = await harness.call("/order", { method: "POST", body: "x" });
    t.equal(result.code, 2005);
    t.equal(backEnd.received.length, 0);
    await harness.stop();
});

// Guards against a request that fails because all its attempts went to workers of one lost data centre.
t.test("a data centre without a running worker is skipped", async t => {
    const [backEnd, harness] = await setUp(respond);
    harness.grant([backEnd.address], 4, "next");
    harness.grant(
        Array.from({ length: 5 }, (_, index) => `127.0.0.${index + 2}:9`),
        4,
        "near",
    );
    const result = await harness.call("/order", { method: "POST", body: "x" });
    t.equal(result.code, 1000);
    t.equal(backEnd.received.length, 1);
    await harness.stop();
    await backEnd.stop();
});

// Guards against the assumption that a target which closes new connections before reading cannot have run a request.
t.test("a target that closes connections before reading may have run the request", async t => {
    const backEnd = await TestBackend.start(respond, socket => socket.destroy());
    const harness = await RequestTestHarness.start();
    harness.grant([backEnd.address]);
    const result = await harness.call("/order", { method: "POST", body: "x" });
    t.equal(result.code, 3001);
    t.equal(backEnd.connectionCount, 1);
    t.equal(backEnd.received.length, 0);
    await harness.stop();
    await backEnd.stop();
});

// Guards against a late response that reaches the next caller on the same connection.
t.test("a late response never reaches another caller", async t => {
    const [backEnd, harness] = await setUp((socket, request, self) => {
        const delayMs = self.received.length === 1 ? 300 : 0;
        setTimeout(() => socket.write(httpResponse(`for ${request.path}`)), delayMs);
    });
    const late = await harness.call("/order/a", {
        method: "POST",
        headers: { "samphireward-deadline-ms": "50" },
    });
    t.equal(late.code, 3000);
    const next = await harness.call("/order/b", { method: "POST" });
    t.equal(next.body, "for /order/b");
    t.equal(backEnd.connectionCount, 2);
    await harness.stop();
    await backEnd.stop();
});

// Guards against a second response to one request being taken as the response to the next request.
t.test("an unsolicited response closes the connection", async t => {
    const [backEnd, harness] = await setUp((socket, request) => {
        socket.write(httpResponse(`for ${request.path}`));
        setTimeout(() => socket.write(httpResponse("again")), 20);
    });
    await harness.call("/read/a");
    await new Promise(resolve => setTimeout(resolve, 100));
    t.equal((await harness.call("/read/b")).body, "for /read/b");
    t.equal(backEnd.connectionCount, 2);
    await harness.stop();
    await backEnd.stop();
});

// Guards against sending a non-idempotent request on a connection that the target may have closed in the meantime.
t.test("a non-idempotent request uses only a new or recently validated connection", async t => {
    const backEnd = await TestBackend.start(respond);
    const harness = await RequestTestHarness.start({ settings: { validatedMs: 100, idleMs: 60_000 } });
    harness.grant([backEnd.address]);
    await harness.call("/order");
    await harness.call("/order");
    t.equal(backEnd.connectionCount, 1);
    await new Promise(resolve => setTimeout(resolve, 150));
    await harness.call("/read");
    await new Promise(resolve => setTimeout(resolve, 150));
    t.equal(backEnd.connectionCount, 1);
    await harness.call("/order");
    t.equal(backEnd.connectionCount, 2);
    await harness.stop();
    await backEnd.stop();
});

// Guards against a truncated response that an HTTP/1.0 caller takes for a complete one.
t.test("an HTTP/1.0 caller can detect an aborted response", async t => {
    const [backEnd, harness] = await setUp(truncatedChunked);
    const socket = connect(harness.port, "127.0.0.1");
    let text = "";
    const ended = new Promise<string>(resolve => {
        socket.on("data", (chunk: Buffer) => (text += chunk.toString()));
        socket.on("end", () => resolve("end"));
        socket.on("error", (err: NodeJS.ErrnoException) => resolve(err.code ?? ""));
    });
    socket.write("GET /read HTTP/1.0\r\n\r\n");
    t.equal(await ended, "ECONNRESET");
    t.match(text, /hello/);
    await harness.stop();
    t.equal(harness.records[0]?.code, 3002);
    await backEnd.stop();
});

// Guards against responses without a body that are kept waiting for one, or rejected for lack of a length.
t.test("responses without a body are forwarded", async t => {
    const [backEnd, harness] = await setUp((socket, request) =>
        socket.write(
            request.method === "HEAD"
                ? "HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n"
                : "HTTP/1.1 204 No Content\r\n\r\n",
        ),
    );
    const head = await harness.call("/read", { method: "HEAD" });
    t.strictSame([head.code, head.headers["content-length"], head.body], [1000, "500", ""]);
    const empty = await harness.call("/read", { method: "DELETE" });
    t.strictSame([empty.code, empty.status, empty.body], [1000, 204, ""]);
    t.equal(backEnd.connectionCount, 1);
    await harness.stop();
    await backEnd.stop();
});
