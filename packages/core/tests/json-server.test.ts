import t from "tap";
import { JsonClient } from "../src/json-client.js";
import { JsonServer } from "../src/json-server.js";

const timeoutMs = 5_000;

// Guards against a connection reset in place of the error status for a body that is too large or a request that is
// malformed, and against a server that stops working after such a request.
t.test("invalid requests get an error status and the server keeps working", async t => {
    const server = JsonServer.create().on("POST", "/v1/echo", ({ body }) => ({ status: 200, body }));
    const address = await server.listen("127.0.0.1:0");
    const invalid = [
        { path: "/v1/echo", body: "x".repeat(6_000_000), status: 413 },
        { path: "/v1/none", body: {}, status: 404 },
    ];
    for (const { path, body, status } of invalid) {
        const client = JsonClient.create(address);
        const response = await client.call("POST", path, { body, timeoutMs });
        t.equal(response.status, status, path);
        client.close();
    }
    const client = JsonClient.create(address);
    t.strictSame((await client.call("POST", "/v1/echo", { body: { a: 1 }, timeoutMs })).body, { a: 1 });
    client.close();
    await server.close();
});

// Guards against an unexpected error of one call that is not reported or gets no code, or that ends the process.
t.test("a call that fails unexpectedly gets status 500 and a code", async t => {
    const errors: unknown[] = [];
    const server = JsonServer.create(
        () => true,
        err => errors.push(err),
    )
        .on("GET", "/v1/throws", () => {
            throw new TypeError("expected");
        })
        .on("GET", "/v1/good", () => ({ status: 200, body: {} }));
    const client = JsonClient.create(await server.listen("127.0.0.1:0"));
    t.match(await client.call("GET", "/v1/throws", { timeoutMs }), { status: 500, body: { code: 3006 } });
    t.strictSame(errors, [new TypeError("expected")]);
    t.match(await client.call("GET", "//", { timeoutMs }), { status: 400, body: { code: 2001 } });
    t.equal((await client.call("GET", "/v1/good", { timeoutMs })).status, 200);
    t.equal(errors.length, 1);
    client.close();
    await server.close();
});

// Guards against administration calls that are answered without the token.
t.test("a request without the token is rejected", async t => {
    const server = JsonServer.create(req => req.headers.authorization === "Bearer secret");
    server.on("GET", "/v1/x", () => ({ status: 200, body: {} }));
    const client = JsonClient.create(await server.listen("127.0.0.1:0"));
    t.equal((await client.call("GET", "/v1/x", { timeoutMs })).status, 401);
    const headers = { authorization: "Bearer secret" };
    t.equal((await client.call("GET", "/v1/x", { timeoutMs, headers })).status, 200);
    client.close();
    await server.close();
});
