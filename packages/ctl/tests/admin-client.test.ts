import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import t from "tap";
import { run } from "./run.js";
import { withServer } from "./with-server.js";

// Guards against a failure that is reported as "not run" although the call may have taken effect, and the reverse.
t.test("failures of a call", async t => {
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
        await withServer(async server => {
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

// Guards against a refusal of a repeated submission that hides that the first one may have been accepted.
t.test("a refusal after a lost answer proves nothing", async t => {
    await withServer(async server => {
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

// Guards against an operator who cannot work because the first entry process of the list is gone.
t.test("the next address is used when a connection is refused", async t => {
    await withServer(async server => {
        server.setResponses("GET /v1/health", { status: 200, body: { state: "serving", revision: 1 } });
        const gone = ["--address", "127.0.0.1:1"];
        const result = await run(["health", ...gone, "--address", server.address]);
        t.equal(result.exitCode, 0);
        const none = await run(["health", ...gone, "--json"]);
        t.equal(none.exitCode, 2);
        t.match(none.json, { code: 2005, message: /No connection to 127\.0\.0\.1:1/ });
    });
});

// Guards against a token that is not sent, or that is sent with the file's line break.
t.test("the token is sent as a bearer token", async t => {
    await withServer(async server => {
        const file = join(mkdtempSync(join(tmpdir(), "samphireward-")), "token");
        writeFileSync(file, "secret\n");
        await run(["health", "--address", server.address, "--token-file", file]);
        t.equal(server.requests[0]?.authorization, "Bearer secret");
    });
});
