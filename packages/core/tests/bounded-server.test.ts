import diagnostics from "node:diagnostics_channel";
import { once } from "node:events";
import type { Socket } from "node:net";
import { connect } from "node:net";
import t from "tap";
import { BoundedServer } from "../src/bounded-server.js";
import { deriveServerLimits } from "../src/derive-server-limits.js";
import { listen } from "../src/listen.js";
import { RefusalReason } from "../src/refusal-reason.js";
import type { ServerLimits } from "../src/server-limits.js";

const MaxBodyBytes = 10_000;

interface Harness {
    readonly port: number;
    readonly refused: RefusalReason[];
    /** Bodies that were handled. */
    readonly handled: string[];
    /** Ends the requests that are being handled. */
    readonly release: () => void;
    readonly close: () => void;
}

/** A server that handles the request to /slow until it is released. */
const start = async (limits: Partial<ServerLimits>): Promise<Harness> => {
    const refused: RefusalReason[] = [];
    const handled: string[] = [];
    const waiting: (() => void)[] = [];
    const { server } = BoundedServer.create({
        limits: { ...deriveServerLimits({}), ...limits },
        listener: async (req, _res, request) => {
            const body = await request.readBody(MaxBodyBytes);
            if (body.isErr()) {
                request.send(body.error.status, {}, body.error.text);
                return;
            }
            if (req.url === "/slow") {
                await new Promise<void>(resolve => waiting.push(resolve));
            }
            handled.push(body.value.toString());
            request.send(200, {}, "done");
        },
        onRefused: reason => refused.push(reason),
    });
    const address = await listen(server, "127.0.0.1:0");
    return {
        port: Number(address.split(":")[1]),
        refused,
        handled,
        release: () => waiting.splice(0).forEach(resolve => resolve()),
        close: () => {
            server.closeAllConnections();
            server.close();
        },
    };
};

const open = async (port: number, text = ""): Promise<Socket> => {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => undefined);
    await once(socket, "connect");
    socket.write(text);
    return socket;
};

/** The status of the next response, or 0 when the connection is closed. */
const statusOf = (socket: Socket): Promise<number> =>
    new Promise(resolve => {
        socket.once("data", (chunk: Buffer) => resolve(Number(chunk.toString().split(" ")[1])));
        socket.once("close", () => resolve(0));
    });

const post = (path: string, length: number, body: string): string =>
    `POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: ${length}\r\n\r\n${body}`;

// Guards against idle clients that keep others out, and against a request whose connection is closed to make room while
// it is being handled.
t.test("the longest idle connection is closed, never one whose request is being handled", async t => {
    const server = await start({ connections: 2 });
    t.teardown(() => server.close());
    const busy = await open(server.port, post("/slow", 1, "a"));
    const idle = await open(server.port);
    const isIdleClosed = once(idle, "close");
    const next = await open(server.port, post("/", 1, "b"));
    t.equal(await statusOf(next), 200);
    await isIdleClosed;
    const busyStatus = statusOf(busy);
    server.release();
    t.equal(await busyStatus, 200);
    t.strictSame(server.refused, [RefusalReason.Connections]);
});

// Guards against stalled bodies that keep the memory from others, and against a refusal of a request that was run.
t.test("the body that was begun first is refused when bodies need too much memory", async t => {
    const server = await start({ bodyBytes: 15_000 });
    t.teardown(() => server.close());
    const stalled = await open(server.port, post("/", 9_000, "x".repeat(8_000)));
    const stalledStatus = statusOf(stalled);
    await new Promise(resolve => setTimeout(resolve, 50));
    const next = await open(server.port, post("/", 9_000, "y".repeat(9_000)));
    t.equal(await statusOf(next), 200);
    t.equal(await stalledStatus, 503);
    t.strictSame(server.handled, ["y".repeat(9_000)]);
    t.strictSame(server.refused, [RefusalReason.Bodies]);
});

// Guards against memory that is not given back, so that a server refuses everything after a while.
t.test("the memory of answered, refused and abandoned bodies is free again", async t => {
    const server = await start({ bodyBytes: 15_000, requests: 10 });
    t.teardown(() => server.close());
    for (let round = 0; round < 20; round++) {
        const answered = await open(server.port, post("/", 9_000, "y".repeat(9_000)));
        t.equal(await statusOf(answered), 200);
        answered.destroy();
        const tooLong = await open(server.port, post("/", 20_000, "y".repeat(9_000)));
        t.equal(await statusOf(tooLong), 413);
        tooLong.destroy();
        const abandoned = await open(server.port, post("/", 9_000, "y".repeat(5_000)));
        abandoned.destroy();
        await once(abandoned, "close");
    }
    t.equal(server.refused.filter(reason => reason === RefusalReason.BodySize).length, 20);
});

// Guards against an accepted request that is lost, or no longer counts, because its client has closed the connection.
t.test("a request that is being handled is completed when its connection is closed", async t => {
    const server = await start({ requests: 1 });
    t.teardown(() => server.close());
    const gone = await open(server.port, post("/slow", 1, "a"));
    await new Promise(resolve => setTimeout(resolve, 50));
    gone.destroy();
    await new Promise(resolve => setTimeout(resolve, 50));
    t.equal(await statusOf(await open(server.port, post("/", 1, "b"))), 503, "it still counts");
    server.release();
    await new Promise(resolve => setTimeout(resolve, 50));
    t.equal(await statusOf(await open(server.port, post("/", 1, "c"))), 200);
    t.strictSame(server.handled, ["a", "c"]);
});

// Guards against limits that do nothing, and against clients that are refused without a count.
t.test("clients beyond a limit are refused with the status and the reason of that limit", async t => {
    const cases: [
        name: string,
        limits: Partial<ServerLimits>,
        text: string,
        status: number,
        RefusalReason,
    ][] = [
        ["stalled body", { bodyIdleMs: 100 }, post("/", 10, "x"), 408, RefusalReason.BodyTime],
        ["slow body", { bodyMs: 100 }, post("/", 10, "x"), 408, RefusalReason.BodyTime],
        ["long body", {}, post("/", 20_000, "x"), 413, RefusalReason.BodySize],
        ["no headers", { headerMs: 100 }, "GET / HTTP/1.1\r\n", 408, RefusalReason.HeaderTime],
        ["long headers", {}, `GET / HTTP/1.1\r\na: ${"b".repeat(20_000)}`, 431, RefusalReason.HeaderSize],
        ["not HTTP", {}, "hello\r\n\r\n", 400, RefusalReason.Malformed],
        [
            "pipelining",
            { requestsPerConnection: 2 },
            post("/slow", 0, "").repeat(3),
            0,
            RefusalReason.Pipelining,
        ],
    ];
    for (const [name, limits, text, status, reason] of cases) {
        const server = await start(limits);
        t.equal(await statusOf(await open(server.port, text)), status, name);
        t.strictSame(server.refused, [reason], name);
        server.close();
    }
});

// Guards against requests that stay in memory after their connection is refused: Node.js parses up to 64 KB at once.
t.test("no request is parsed after the one at which the connection is refused", async t => {
    const server = await start({ requestsPerConnection: 2, requests: 3 });
    t.teardown(() => server.close());
    let parsed = 0;
    const countParsed = (): void => void parsed++;
    diagnostics.subscribe("http.server.request.start", countParsed);
    t.teardown(() => diagnostics.unsubscribe("http.server.request.start", countParsed));
    const get = "GET /slow HTTP/1.1\r\nhost: x\r\n\r\n";
    t.equal(await statusOf(await open(server.port, get.repeat(1_000))), 0);
    t.equal(parsed, 2, "beyond the limit of the connection");
    t.strictSame(server.refused, [RefusalReason.Pipelining]);

    await open(server.port, get);
    await new Promise(resolve => setTimeout(resolve, 50));
    t.equal(await statusOf(await open(server.port, get.repeat(1_000))), 503, "the refusal is received");
    t.equal(parsed, 4, "beyond the limit of the server");
    t.strictSame(server.refused, [RefusalReason.Pipelining, RefusalReason.Requests]);
});

// Guards against requests that count as open for ever because their responses waited for an earlier one when the
// connection was closed: the server would refuse all further requests.
t.test(
    "requests without waiting no longer count when their connection is closed and they are done",
    async t => {
        const server = await start({ requestsPerConnection: 4, requests: 4 });
        t.teardown(() => server.close());
        for (let round = 0; round < 2; round++) {
            t.equal(await statusOf(await open(server.port, post("/slow", 0, "").repeat(5))), 0);
            await new Promise(resolve => setTimeout(resolve, 50));
            t.equal(
                await statusOf(await open(server.port, post("/", 1, "b"))),
                503,
                "they count until they are done",
            );
            server.release();
            await new Promise(resolve => setTimeout(resolve, 50));
            t.equal(await statusOf(await open(server.port, post("/", 1, "c"))), 200);
        }
        const round = ["", "", "", "", "c"];
        t.strictSame(server.handled, [...round, ...round]);
        const reasons = [RefusalReason.Pipelining, RefusalReason.Requests];
        t.strictSame(server.refused, [...reasons, ...reasons]);
    },
);

// Guards against ordinary connections that are refused by the count of requests, or by a header that asks for an upgrade.
t.test("a connection with many requests, one after the other, stays open", async t => {
    const server = await start({ requestsPerConnection: 1 });
    t.teardown(() => server.close());
    const socket = await open(server.port);
    socket.setMaxListeners(0);
    const upgrade = "GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n";
    for (let count = 0; count < 50; count++) {
        socket.write(count % 2 === 0 ? upgrade : post("/", 1, "a"));
        t.equal(await statusOf(socket), 200);
    }
    t.strictSame(server.refused, []);
});

// Guards against requests that wait behind another one on their connection and stay counted for ever: Node.js emits no
// close event for their responses.
t.test("requests sent without waiting are free again when their connection is closed", async t => {
    const server = await start({ bodyBytes: 20_000, requests: 8 });
    t.teardown(() => server.close());
    const body = "y".repeat(4_000);
    for (let round = 0; round < 3; round++) {
        const client = await open(server.port, post("/slow", body.length, body).repeat(4));
        await new Promise(resolve => setTimeout(resolve, 50));
        client.destroy();
        await new Promise(resolve => setTimeout(resolve, 50));
        server.release();
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    t.equal(server.handled.length, 12, "accepted requests are completed");
    const next = await open(server.port, post("/", 9_000, "z".repeat(9_000)));
    t.equal(await statusOf(next), 200);
    t.strictSame(server.refused, []);
});

// Guards against probes that need a new connection each: the listener runs before the parser has seen the end of a
// request without a body.
t.test("a listener that answers at once keeps the connection of a request without a body", async t => {
    const { server } = BoundedServer.create({
        limits: deriveServerLimits({}),
        listener: (_req, _res, request) => request.send(200, {}, ""),
    });
    const port = Number((await listen(server, "127.0.0.1:0")).split(":")[1]);
    t.teardown(() => {
        server.closeAllConnections();
        server.close();
    });
    const client = await open(port);
    for (const request of ["GET / HTTP/1.1\r\nhost: x\r\n\r\n", post("/", 0, "")]) {
        const response = once(client, "data");
        client.write(request);
        t.notMatch(String((await response)[0]).toLowerCase(), "connection: close");
    }
});

// Guards against listeners that wait for ever: those of `packages/routing` and `JsonServer` learn from the close event of
// a response that its client is gone.
t.test("each response of a connection that is closed emits one close event", async t => {
    const closed: (string | undefined)[] = [];
    const { server } = BoundedServer.create({
        limits: deriveServerLimits({}),
        listener: (req, res) => void res.on("close", () => closed.push(req.url)),
    });
    const port = Number((await listen(server, "127.0.0.1:0")).split(":")[1]);
    t.teardown(() => server.close());
    const client = await open(port, post("/1", 0, "") + post("/2", 0, "") + post("/3", 0, ""));
    await new Promise(resolve => setTimeout(resolve, 50));
    client.destroy();
    await new Promise(resolve => setTimeout(resolve, 50));
    t.strictSame(closed.sort(), ["/1", "/2", "/3"]);
});

// Guards against a slow client that is cut off while it reads: Node.js counts the bytes of a write until all are sent.
t.test("a client may read a long response for longer than the time without progress", async t => {
    const ResponseIdleMs = 600;
    const length = 16 * 1024 * 1024;
    const refused: RefusalReason[] = [];
    const { server } = BoundedServer.create({
        limits: { ...deriveServerLimits({}), responseIdleMs: ResponseIdleMs },
        listener: (_req, _res, request) => request.send(200, {}, "x".repeat(length)),
        onRefused: reason => refused.push(reason),
    });
    const port = Number((await listen(server, "127.0.0.1:0")).split(":")[1]);
    t.teardown(() => {
        server.closeAllConnections();
        server.close();
    });
    const client = await open(port, "GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    let received = 0;
    let isReading = true;
    client.on("data", (chunk: Buffer) => {
        received += chunk.length;
        client.pause();
        setTimeout(() => isReading && client.resume(), 10);
    });
    await Promise.race([
        once(client, "close"),
        new Promise(resolve => setTimeout(resolve, 4 * ResponseIdleMs)),
    ]);
    t.strictSame(refused, []);
    t.ok(received > 0 && received < length, `the client is still reading, ${received} bytes so far`);
    isReading = false;
    await new Promise(resolve => setTimeout(resolve, 4 * ResponseIdleMs));
    t.strictSame(refused, [RefusalReason.ResponseTime], "a client that stops reading is closed");
});

// Guards against a server that never closes: Node.js ends its checks of header times when it stops listening.
t.test("a closed server closes connections that never send", async t => {
    const { server } = BoundedServer.create({ limits: deriveServerLimits({}), listener: () => undefined });
    const port = Number((await listen(server, "127.0.0.1:0")).split(":")[1]);
    t.teardown(() => server.closeAllConnections());
    await open(port);
    await open(port, "GET / HTTP/1.1\r\n");
    await new Promise(resolve => setTimeout(resolve, 50));
    const isClosed = new Promise(resolve => server.close(() => resolve(true)));
    t.ok(await Promise.race([isClosed, new Promise(resolve => setTimeout(resolve, 3_000, false))]));
});
