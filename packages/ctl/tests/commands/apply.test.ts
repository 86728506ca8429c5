import t from "tap";
import { exampleTables } from "../example-tables.js";
import type { FakeAdminServer } from "../fake-admin-server.js";
import { run } from "../run.js";
import { withFakeServer } from "../with-fake-server.js";

const apply = (server: FakeAdminServer, ...more: string[]): ReturnType<typeof run> =>
    run(["apply", ...exampleTables.args, "--address", server.address, "--author", "first", ...more]);

const countOwnChanges = (server: FakeAdminServer): number =>
    server.changes.filter(({ author }) => author === "first").length;

// Guards against a change that is lost or applied twice, and against a wrong report of its outcome.
t.test("apply reports the outcome of the change", async t => {
    const cases = [
        { name: "first tables", faults: [], exitCode: 0, code: 1003, changes: 1 },
        {
            name: "lost response, applied",
            faults: ["apply-and-destroy"],
            exitCode: 0,
            code: 1003,
            changes: 1,
        },
        {
            name: "lost request, applied by the retry",
            faults: ["destroy"],
            exitCode: 0,
            code: 1003,
            changes: 1,
        },
        { name: "store unavailable", faults: ["store-unavailable"], exitCode: 2, code: 2004, changes: 0 },
        { name: "conflict", faults: ["other-change"], exitCode: 6, code: 5002, changes: 0 },
        {
            name: "lost, then conflict",
            faults: ["destroy", "other-change"],
            exitCode: 6,
            code: 5002,
            changes: 0,
        },
        {
            name: "lost, then the store is unavailable: unknown",
            faults: ["destroy", "store-unavailable", "store-unavailable", "store-unavailable"],
            exitCode: 3,
            code: 3001,
            changes: 0,
        },
    ] as const;
    for (const { name, faults, exitCode, code, changes } of cases) {
        await withFakeServer(async server => {
            server.writeFaults.push(...faults);
            const result = await apply(server, "--json");
            t.equal(result.exitCode, exitCode, `${name}: ${result.out}`);
            t.equal(result.json["code"], code, name);
            t.equal(countOwnChanges(server), changes, name);
        });
    }
});

// Guards against a conflict report that does not show who changed what.
t.test("a conflict names the author and shows the changed lines", async t => {
    await withFakeServer(async server => {
        await apply(server);
        server.writeFaults.push("other-change");
        const late = await apply(server);
        t.match(late.out, /Expected revision 1, but revision 2 is in force: second-operator changed/);
        t.match(late.out, /^-maxQueue = 200$/m);
        t.match(late.out, /^\+maxQueue = 250$/m);
        t.match(late.out, /Nothing was applied\. What changed:/);

        // The tables of revision 1 are no longer known, so the diff compares the tables in force with the caller's.
        const old = await apply(server, "--expect-revision", "1");
        t.equal(old.exitCode, 6);
        t.match(old.out, /From the tables in force to this change:/);
        t.match(old.out, /^-maxQueue = 250$/m);
        t.match(old.out, /^\+maxQueue = 200$/m);
    });
});

// Guards against an applied change that is reported as not applied because another change followed it.
t.test("the outcome after a lost response is found in the history", async t => {
    await withFakeServer(async server => {
        server.writeFaults.push("apply-and-destroy");
        const none = { revision: 0, changeId: "", author: "", timeMs: 0, routes: "", pools: "" };
        server.setResponses("GET /v1/config", { status: 200, body: none });
        const result = await apply(server, "--json");
        t.match(result.json, { code: 1003, revision: 1, foundById: true });
        t.equal(countOwnChanges(server), 1);
    });
});

// Guards against sending invalid tables, and against dropping the problems that the server reports.
t.test("invalid tables", async t => {
    await withFakeServer(async server => {
        const args = ["apply", "--address", server.address, "--json"];
        const swapped = ["--routes", exampleTables.args[3] ?? "", "--pools", exampleTables.args[1] ?? ""];
        const local = await run([...args, ...swapped]);
        t.equal(local.exitCode, 5);
        t.ok((local.json["problems"] as unknown[]).length > 1, "every problem is listed");
        t.equal(server.requests.length, 0);

        const missing = await run([...args, "--routes", "/nonexistent/r", "--pools", "/nonexistent/p"]);
        t.equal(missing.exitCode, 5);
        t.equal((missing.json["problems"] as unknown[]).length, 2);

        const problem = { file: "pools", key: "pools.x", message: "Expected y" };
        server.setResponses("PUT /v1/config", { status: 422, body: { code: 5001, problems: [problem] } });
        const remote = await run([...args, ...exampleTables.args]);
        t.equal(remote.exitCode, 5);
        t.strictSame(remote.json["problems"], [problem]);
    });
});
