import { connect } from "node:net";
import type { Socket } from "node:net";
import t from "tap";
import { httpResponse } from "./http-response.js";
import { TestBackend } from "./test-backend.js";
import { RequestTestHarness } from "./request-test-harness.js";

const setUp = async (): Promise<{
    harness: RequestTestHarness;
    backEnd: TestBackend;
    stop: () => Promise<void>;
}> => {
    const backEnd = await TestBackend.start(socket => socket.write(httpResponse("fine")));
    const harness = await RequestTestHarness.start();
    harness.grant([backEnd.address]);
    const stop = async (): Promise<void> => {
        await harness.stop();
        await backEnd.stop();
    };
    return { harness, backEnd, stop };
};

/** Sends raw bytes and returns the result code of the response, or 0 without a response. */
const sendRaw = (port: number, write: (socket: Socket) => void): Promise<number> =>
    new Promise(resolve => {
        const socket = connect(port, "127.0.0.1");
        let text = "";
        const finish = (): void => {
            resolve(Number(/samphireward-code: (\d+)/i.exec(text)?.[1] ?? 0));
            socket.destroy();
        };
        socket.on("data", (chunk: Buffer) => {
            text += chunk.toString("latin1");
            if (text.includes("\r\n\r\n")) {
                finish();
            }
        });
        socket.on("error", finish);
        socket.on("close", finish);
        write(socket);
    });

const head = (line: string, ...headers: string[]): string =>
    `${[line, "host: x", ...headers].join("\r\n")}\r\n\r\n`;

// Guards against invalid input that gets no result code, reaches a back end, or stops the service.
t.test("invalid requests get a result code and the service keeps running", async t => {
    const { harness, backEnd, stop } = await setUp();
    const table: [string, string, number][] = [
        ["unknown route", head("GET /nowhere HTTP/1.1"), 2000],
        ["prefix that ends within a segment", head("GET /reader HTTP/1.1"), 2000],
        ["dot segments", head("GET /read/../order HTTP/1.1"), 2001],
        ["encoded dot segments", head("GET /read/%2e%2E/order HTTP/1.1"), 2001],
        ["absolute-form request target", head("GET http://x/read HTTP/1.1"), 2001],
        ["not HTTP", "hello\r\n\r\n", 2001],
        ["invalid customer", head("GET /read HTTP/1.1", "samphireward-customer: a b"), 2001],
        ["long customer", head("GET /read HTTP/1.1", `samphireward-customer: ${"c".repeat(129)}`), 2001],
        ["empty key", head("GET /order HTTP/1.1", "idempotency-key: "), 2001],
        ["invalid deadline", head("GET /read HTTP/1.1", "samphireward-deadline-ms: -5"), 2001],
        [
            "two content-length headers",
            head("POST /read HTTP/1.1", "content-length: 1", "content-length: 2"),
            2001,
        ],
        [
            "content-length and chunked encoding",
            head("POST /read HTTP/1.1", "content-length: 1", "transfer-encoding: chunked"),
            2001,
        ],
        ["invalid chunk", `${head("POST /read HTTP/1.1", "transfer-encoding: chunked")}zz\r\n`, 2001],
        ["large headers", head("GET /read HTTP/1.1", `x-large: ${"x".repeat(20_000)}`), 2006],
        ["large body", head("POST /read HTTP/1.1", "content-length: 1001"), 2006],
        [
            "large chunked body",
            `${head("POST /read HTTP/1.1", "transfer-encoding: chunked")}3e9\r\n${"x".repeat(1001)}\r\n`,
            2006,
        ],
        ["deadline of 0 ms", head("GET /read HTTP/1.1", "samphireward-deadline-ms: 0"), 2003],
    ];
    for (const [label, text, code] of table) {
        t.equal(await sendRaw(harness.port, socket => socket.write(text)), code, label);
    }
    t.equal(backEnd.received.length, 0);
    t.equal((await harness.call("/read")).body, "fine");
    await stop();
});

// Guards against a slow upload that occupies a slot or a connection to a back end.
t.test("a slow upload occupies no slot", async t => {
    const { harness, backEnd, stop } = await setUp();
    const slow = sendRaw(harness.port, socket =>
        socket.write(head("POST /read HTTP/1.1", "content-length: 10") + "half"),
    );
    t.equal((await harness.call("/read")).code, 1000);
    t.equal(await slow, 2003);
    t.equal(backEnd.received.length, 1);
    await stop();
});

// Guards against memory use that grows with the number of request bodies.
t.test("the total size of request bodies is limited", async t => {
    const backEnd = await TestBackend.start(socket => socket.write(httpResponse("fine")));
    const harness = await RequestTestHarness.start({ settings: { maxBodiesBytes: 1_500 } });
    harness.grant([backEnd.address]);
    const openSocket = connect(harness.port, "127.0.0.1");
    openSocket.write(head("POST /slow HTTP/1.1", "content-length: 1000") + "x".repeat(999));
    while (harness.handler.activeCount === 0) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    await new Promise(resolve => setTimeout(resolve, 50));
    t.equal((await harness.call("/read", { method: "POST", body: "y".repeat(600) })).code, 2002);
    openSocket.destroy();
    while (harness.handler.activeCount > 0) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    t.equal((await harness.call("/read", { method: "POST", body: "y".repeat(600) })).code, 1000);
    await harness.stop();
    await backEnd.stop();
});

// Guards against hop-by-hop headers, or headers of this system, that a caller smuggles to the back end.
t.test("headers for the target", async t => {
    const { harness, backEnd, stop } = await setUp();
    await harness.call("/read", {
        headers: {
            connection: "keep-alive, x-hop",
            "x-hop": "1",
            te: "trailers",
            "samphireward-code": "1000",
            "samphireward-deadline-ms": "400",
            "x-end": "2",
        },
    });
    const headers = backEnd.received[0]?.headers;
    t.equal(headers?.has("x-hop"), false);
    t.equal(headers?.has("te"), false);
    t.equal(headers?.has("samphireward-code"), false);
    t.equal(headers?.get("x-end"), "2");
    const remainingMs = Number(headers?.get("samphireward-deadline-ms"));
    t.ok(remainingMs > 0 && remainingMs <= 400, "the remaining time is forwarded");
    t.match(headers?.get("samphireward-request-id"), /^[0-9a-f-]{36}$/);
    await stop();
});
