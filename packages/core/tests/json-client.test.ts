import type { ServerResponse } from "node:http";
import { createServer } from "node:http";
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
