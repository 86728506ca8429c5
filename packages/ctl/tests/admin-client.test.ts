import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import t from "tap";
import { run } from "./run.js";
import { withFakeServer } from "./with-fake-server.js";

// Guards against a failure that is reported as "not run" although the request may have taken effect, and vice versa.
t.test("failures of a request", async t => {
    const health = { state: "serving", revision: 1 };
    const cases = [
        { response: { status: 200, body: health, fault: "truncate" }, code: 3002, calls: 3 },
        { response: { status: 200, body: health, fault: "destroy" }, code: 3001, calls: 3 },
        { response: { status: 200, body: health, fault: "silent" }, code: 3000, calls: 3 },
        { response: { status: 200, body: "not json" }, code: 3003, calls: 1 },
        { response: { status: 200, body: { state: 1 } }, code: 3003, calls: 1 },
        { response: { status: 500, body: "" }, code: 3003, calls: 1 },
        { response: { status: 401, body: "" }, code: 2011, calls: 1 },
    ] as const;
    for (const { response, code, calls } of cases) {
        await withFakeServer(async server => {
            server.setResponses("GET /v1/health", response);
            const result = await run([
                "health",
                "--address",
                server.address,
                "--timeout-ms",
                "300",
                "--json",
            ]);
            t.equal(result.json["code"], code, JSON.stringify(response));
            t.equal(result.exitCode, Math.floor(code / 1000), JSON.stringify(response));
            t.equal(server.requestCount("GET /v1/health"), calls, JSON.stringify(response));
        });
    }
});

// Guards against reporting "refused" for a retried submission whose first attempt may have been accepted.
t.test("a refused retry does not replace the unknown result of a lost response", async t => {
    await withFakeServer(async server => {
        const refused = { status: 503, body: { code: 2002 } };
        server.setResponses("POST /p", { status: 202, body: {}, fault: "destroy" }, refused);
        const args = ["submit", "--path", "/p", "--key", "k", "--payload", "x", "--address", server.address];
        t.equal((await run([...args, "--json"])).json["code"], 3001);
        server.setResponses(
            "POST /p",
            { status: 202, body: {}, fault: "destroy" },
            { status: 200, body: { code: 1002 } },
        );
        t.equal((await run([...args, "--json"])).json["code"], 1002);
    });
});

// Guards against a command that fails although only the first of several entry processes is down.
t.test("the next address is used when a connection is refused", async t => {
    await withFakeServer(async server => {
        server.setResponses("GET /v1/health", { status: 200, body: { state: "serving", revision: 1 } });
        const unreachableArgs = ["--address", "127.0.0.1:1"];
        const result = await run(["health", ...unreachableArgs, "--address", server.address]);
        t.equal(result.exitCode, 0);
        const none = await run(["health", ...unreachableArgs, "--json"]);
        t.equal(none.exitCode, 2);
        t.match(none.json, { code: 2005, message: /No connection to 127\.0\.0\.1:1/ });
    });
});

// Guards against a token that is not sent, or is sent with the trailing line break of its file.
t.test("the token is sent as a bearer token", async t => {
    await withFakeServer(async server => {
        const file = join(mkdtempSync(join(tmpdir(), "samphireward-")), "token");
        writeFileSync(file, "secret\n");
        await run(["health", "--address", server.address, "--token-file", file]);
        t.equal(server.requests[0]?.authorization, "Bearer secret");
    });
});
