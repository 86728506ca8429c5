import type { ServerResponse } from "node:http";
import { createServer } from "node:http";
import { setTimeout } from "node:timers/promises";
import t from "tap";
import { IncompleteResponseError } from "../src/incomplete-response-error.js";
import { JsonClient } from "../src/json-client.js";
import { listen } from "../src/listen.js";

const TimeoutMs = 200;
const PartIntervalMs = 60;
/** The parts of a slow response take longer than `TimeoutMs` together. */
const PartCount = 8;

/** Sends a JSON string in parts; stops without an end after `sentParts` of them. */
const sendParts = (res: ServerResponse, sentParts: number): void => {
    res.writeHead(200, { "content-type": "application/json" });
    let index = 0;
    const timer = setInterval(() => {
        if (index === sentParts) {
            clearInterval(timer);
            return;
        }
        const part = index === 0 ? '"' : index === PartCount - 1 ? '"' : "x";
        index++;
        if (index === PartCount) {
            res.end(part);
        } else {
            res.write(part);
        }
    }, PartIntervalMs);
    res.on("close", () => clearInterval(timer));
};

/** Calls a server that answers with `respond` and returns the response or the error. */
const callServer = async (
    respond: (res: ServerResponse) => void,
    options: { readonly timeoutMs: number; readonly maxIdleMs?: number },
): Promise<unknown> => {
    const server = createServer((_req, res) => respond(res));
    const client = JsonClient.create(await listen(server, "127.0.0.1:0"));
    const outcome = await client.call("GET", "/", options).catch((err: unknown) => err);
    client.close();
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
    return outcome;
};

// Guards against long responses that are abandoned although their data arrives steadily.
t.test("with an idle limit, a response may take longer than the timeout while its data arrives", async t => {
    const outcome = await callServer(res => sendParts(res, PartCount), {
        timeoutMs: TimeoutMs,
        maxIdleMs: TimeoutMs,
    });
    t.match(outcome, { status: 200, body: "xxxxxx", receivedBytes: PartCount });
});

// Guards against calls that never end: each limit has to apply by itself.
t.test("a response that does not arrive in time rejects and says how much of it had arrived", async t => {
    const cases = [
        {
            name: "no response at all",
            respond: () => undefined,
            options: { timeoutMs: TimeoutMs, maxIdleMs: TimeoutMs },
            receivedBytes: 0,
        },
        {
            name: "a response that stops",
            respond: (res: ServerResponse) => sendParts(res, 3),
            options: { timeoutMs: TimeoutMs, maxIdleMs: TimeoutMs },
            receivedBytes: 3,
        },
        {
            name: "a slow response without an idle limit",
            respond: (res: ServerResponse) => sendParts(res, PartCount),
            options: { timeoutMs: TimeoutMs },
        },
    ];
    for (const { name, respond, options, receivedBytes } of cases) {
        const outcome = await callServer(respond, options);
        t.ok(outcome instanceof IncompleteResponseError, name);
        if (receivedBytes !== undefined && outcome instanceof IncompleteResponseError) {
            t.equal(outcome.receivedBytes, receivedBytes, name);
        }
    }
});

// Guards against the loss of the error code that tells a refused connection from a call without a response.
t.test("a refused connection rejects with its error code", async t => {
    const server = createServer();
    const address = await listen(server, "127.0.0.1:0");
    await new Promise(resolve => server.close(resolve));
    const client = JsonClient.create(address);
    await t.rejects(client.call("GET", "/", { timeoutMs: TimeoutMs }), {
        code: "ECONNREFUSED",
        receivedBytes: 0,
    });
});

// Guards against a task that is started twice: an HTTP client that repeats a request on a new connection of its own
// accord, although the first one may have taken effect.
t.test("a request whose connection ends without a response is sent once", async t => {
    let received = 0;
    const server = createServer((req, res) => {
        received++;
        if (req.url === "/first") {
            res.end("1");
        } else {
            req.socket.destroy();
        }
    });
    const client = JsonClient.create(await listen(server, "127.0.0.1:0"));
    await client.call("POST", "/first", { timeoutMs: TimeoutMs });
    await t.rejects(client.call("POST", "/second", { body: {}, timeoutMs: TimeoutMs }), {
        name: "IncompleteResponseError",
    });
    await setTimeout(TimeoutMs);
    t.equal(received, 2);
    client.close();
    server.close();
});

// Guards against the response to an earlier request that is taken for that of a later one.
t.test("a response that arrives after its call has ended is not that of the next call", async t => {
    const server = createServer((req, res) => {
        const delayMs = req.url === "/slow" ? 1.5 * TimeoutMs : 0;
        void setTimeout(delayMs).then(() => res.end(JSON.stringify(req.url)));
    });
    const client = JsonClient.create(await listen(server, "127.0.0.1:0"));
    await t.rejects(client.call("GET", "/slow", { timeoutMs: TimeoutMs }));
    for (let call = 0; call < 5; call++) {
        t.match(await client.call("GET", "/next", { timeoutMs: TimeoutMs }), { body: "/next" });
        await setTimeout(TimeoutMs / 4);
    }
    client.close();
    server.close();
});

// Guards against calls that are lost, or that wait forever, when more are made than the client has connections.
t.test("calls beyond the connections of a client wait for one, within their time", async t => {
    const CallCount = 40;
    let open = 0;
    let maxOpen = 0;
    const server = createServer((_req, res) => {
        maxOpen = Math.max(maxOpen, ++open);
        void setTimeout(5).then(() => {
            open--;
            res.end("true");
        });
    });
    const client = JsonClient.create(await listen(server, "127.0.0.1:0"));
    const call = (): Promise<unknown> => client.call("GET", "/", { timeoutMs: 10 * TimeoutMs });
    const answers = await Promise.all(Array.from({ length: CallCount }, call));
    t.equal(answers.length, CallCount);
    t.ok(maxOpen <= 16, `${maxOpen} calls at a time`);
    client.close();
    server.close();
});

// Guards against a process that ends, and calls that never do, because of an address that cannot be used.
t.test("a call to an address that cannot be used rejects", async t => {
    for (const address of ["nowhere", "127.0.0.1:99999", "127.0.0.1:999999", "a b:80"]) {
        const client = JsonClient.create(address);
        await t.rejects(client.call("GET", "/", { timeoutMs: TimeoutMs }), address);
        client.close();
    }
});

// Guards against a caller that waits for a client that is closed.
t.test("open calls reject when their client is closed", async t => {
    const server = createServer(() => undefined);
    const client = JsonClient.create(await listen(server, "127.0.0.1:0"));
    const call = client.call("GET", "/", { timeoutMs: 60_000 });
    client.close();
    await t.rejects(call, { name: "IncompleteResponseError", receivedBytes: 0 });
    server.closeAllConnections();
    server.close();
});
