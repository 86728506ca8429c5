import t from "tap";
import { exampleTables } from "../example-tables.js";
import { run } from "../run.js";
import { withFakeServer } from "../with-fake-server.js";

const member = (name: string, revision: number, state = "alive"): Record<string, unknown> => ({
    name,
    role: "entry",
    region: "jylland",
    dataCentre: "herning-a",
    address: "127.0.0.1:1",
    revision,
    state,
});

const membersResponse = (...members: Record<string, unknown>[]): { status: number; body: unknown } => ({
    status: 200,
    body: { members },
});

// Guards against a revision that is reported as in force while a live process runs an older one.
t.test("apply --wait", async t => {
    const cases = [
        {
            name: "catches up",
            responses: [
                membersResponse(member("entry-1", 1), member("entry-2", 0)),
                membersResponse(member("entry-1", 1), member("entry-2", 1)),
            ],
            exitCode: 0,
            lagging: [],
            progress: /1 of 2 live members; waiting for entry-2 \(revision 0\)\nrevision 1: 2 of 2/,
        },
        {
            name: "one lags",
            responses: [membersResponse(member("entry-1", 1), member("entry-2", 0))],
            exitCode: 7,
            lagging: ["entry-2"],
            progress: /waiting for entry-2/,
        },
        {
            name: "a suspected member counts as live",
            responses: [membersResponse(member("entry-1", 1), member("entry-2", 0, "suspected"))],
            exitCode: 7,
            lagging: ["entry-2"],
            progress: /waiting for entry-2/,
        },
        {
            name: "a gone member does not count",
            responses: [membersResponse(member("entry-1", 2), member("entry-2", 0, "gone"))],
            exitCode: 0,
            lagging: [],
            progress: /1 of 1 live members/,
        },
        {
            name: "no members",
            responses: [membersResponse()],
            exitCode: 7,
            lagging: [],
            progress: /0 of 0 live members/,
        },
        {
            name: "members cannot be read",
            responses: [{ status: 503, body: { code: 2008 } }],
            exitCode: 7,
            lagging: [],
            progress: /members cannot be read/,
        },
    ];
    for (const { name, responses, exitCode, lagging, progress } of cases) {
        await withFakeServer(async server => {
            server.setResponses("GET /v1/members", ...responses);
            const waitMs = exitCode === 0 ? "20000" : "400";
            const args = ["apply", ...exampleTables.args, "--address", server.address, "--wait"];
            const result = await run([...args, "--wait-ms", waitMs, "--json"]);
            t.equal(result.exitCode, exitCode, name);
            const named = result.json["lagging"] as { name: string }[];
            t.strictSame(
                named.map(item => item.name),
                lagging,
                name,
            );
            t.match(result.error, progress, name);
        });
    }
});
