import t from "tap";
import { exampleTables } from "../example-tables.js";
import { run } from "../run.js";
import { withFakeServer } from "../with-fake-server.js";

const resources = { processors: 4, memoryMb: 8_000, accelerators: 0 };
const noResources = { processors: 0, memoryMb: 0, accelerators: 0 };
const cell = {
    cell: "herning-b/0",
    owner: "scheduler-1",
    epoch: 3,
    workers: [
        { name: "w1", rack: "r1", state: "open", capacity: resources, reserved: noResources, tasks: 0 },
        { name: "w2", rack: "r1", state: "drained", capacity: resources, reserved: resources, tasks: 2 },
    ],
    queued: 1,
    running: 2,
};
const change = { revision: 4, changeId: "c4", author: "ann", timeMs: 1_790_000_000_000 };
const config = { ...change, routes: exampleTables.routes, pools: exampleTables.pools };
const member = {
    name: "entry-1",
    role: "entry",
    region: "jylland",
    dataCentre: "herning-a",
    address: "127.0.0.1:1",
    revision: 4,
    state: "alive",
};
const task = {
    code: 1000,
    key: "k1",
    pool: "cutting",
    state: "running",
    attempt: 2,
    worker: "w1",
    reason: "placed",
};
const waitingTask = { ...task, state: "queued", worker: "", reason: "no open worker has 2 cores free" };
const cancelledTask = { ...task, code: 4001, state: "cancelled" };
const taskUnknownBody = { code: 2104, message: "No task with this key is known." };
const explanation = {
    code: 1000,
    job: "00000000000000aa",
    cell: 0,
    outcome: "starts",
    queue: { name: "r-jobs", service: "desk", priority: 0, stretch: 2, needsPermits: false },
    step: { number: 0, count: 2, reserves: resources },
    ahead: { steps: 1, tasks: 3, processorMs: 4_500, waitingSteps: 4, startableSteps: 1, isPartial: false },
    workers: {
        total: 9,
        suitable: 2,
        excluded: [
            { reason: "has too few free processors", count: 6 },
            { reason: "is draining", count: 1 },
        ],
        isPartial: false,
    },
    worker: { id: "w1", zone: "herning-a", rack: "r1", freeProcessors: 3 },
    expectedStartMs: 1_790_000_000_000,
    expectedTaskEndMs: 1_790_000_001_000,
    expectedJobEndMs: 1_790_000_002_000,
};
const waitingExplanation = {
    code: 1000,
    job: "k1",
    cell: "herning-b/0",
    outcome: "waits",
    reason: "no open worker has enough free capacity",
    queue: { pool: "cutting", team: "plans", class: "batch", order: "oldest first" },
    ahead: { steps: 0, tasks: 0, processorMs: 0, waitingSteps: 0, startableSteps: 0, isPartial: true },
    workers: { total: 1, suitable: 0, excluded: [{ reason: "is drained", count: 1 }], isPartial: false },
};
/** Codes of the failures to explain, with a part of their messages. */
const explainFailures: readonly [status: number, code: number, message: string][] = [
    [503, 2007, "No process owns cell 0 now"],
    [503, 2015, "The owner of cell 0 did not answer"],
    [503, 2016, "The owner of cell 0 reads its state"],
    [503, 2017, "The owner of cell 0 answers once in 250 ms"],
    [404, 2000, "No queue"],
    [400, 2001, "steps: expected"],
];
const explainJob = ["explain", "--job", "-", "--queue", "r-jobs", "--id", "00000000000000aa"];

interface CommandCase {
    readonly args: readonly string[];
    /** Standard input; empty if absent. */
    readonly input?: string;
    readonly responses: Readonly<Record<string, { status: number; body: unknown }>>;
    readonly exitCode: number;
    readonly json: Readonly<Record<string, unknown>>;
    /** Expected in the output without `--json`. */
    readonly text: RegExp;
}

const okResponse = (body: unknown): { status: number; body: unknown } => ({ status: 200, body });

const cases: readonly CommandCase[] = [
    {
        args: ["config", "show"],
        responses: { "GET /v1/config": okResponse(config) },
        exitCode: 0,
        json: { code: 1000, ...config },
        text: /# revision 4, change id c4\n# ann, 2026-09-21 14:13:20Z\n/,
    },
    {
        args: ["config", "show", "--table", "routes"],
        responses: { "GET /v1/config": okResponse(config) },
        exitCode: 0,
        json: { code: 1000, ...config },
        text: /^\[routes\.proof-render\]\n/,
    },
    {
        args: ["config", "history"],
        responses: { "GET /v1/config/history": okResponse({ changes: [change] }) },
        exitCode: 0,
        json: { code: 1000, changes: [change] },
        text: /^REVISION +TIME +AUTHOR +CHANGE ID\n +4 {2}2026-09-21 14:13:20Z {2}ann +c4\n$/,
    },
    {
        args: ["members"],
        responses: { "GET /v1/members": okResponse({ members: [member] }) },
        exitCode: 0,
        json: { code: 1000, members: [member] },
        text: /entry-1 +entry +jylland +herning-a +127\.0\.0\.1:1 +4 +alive/,
    },
    {
        args: ["cells"],
        responses: { "GET /v1/cells": okResponse({ cells: [cell] }) },
        exitCode: 0,
        json: { code: 1000, cells: [cell] },
        text: /herning-b\/0 +scheduler-1 +3 +2 +1 +2/,
    },
    {
        args: ["cells", "--workers"],
        responses: { "GET /v1/cells": okResponse({ cells: [cell] }) },
        exitCode: 0,
        json: { code: 1000, cells: [cell] },
        text: /herning-b\/0 +w2 +r1 +drained +2 +4 of 4 +8000 of 8000 +0 of 0/,
    },
    {
        args: ["health"],
        responses: { "GET /v1/health": okResponse({ state: "serving", revision: 4 }) },
        exitCode: 0,
        json: { code: 1000, state: "serving", revision: 4 },
        text: /serving, revision 4/,
    },
    {
        args: ["health"],
        responses: { "GET /v1/health": { status: 503, body: { state: "draining", revision: 4 } } },
        exitCode: 2,
        json: { code: 2008, state: "draining", revision: 4 },
        text: /draining, revision 4/,
    },
    {
        args: ["status", "k1", "--pool", "cutting"],
        responses: { "GET /v1/tasks/k1": okResponse(task) },
        exitCode: 0,
        json: { code: 1000, task },
        text: /k1 \(pool cutting\): running, attempt 2\nworker: w1/,
    },
    {
        args: ["status", "k1", "--pool", "cutting"],
        responses: { "GET /v1/tasks/k1": okResponse(cancelledTask) },
        exitCode: 4,
        json: { code: 4001, task: cancelledTask },
        text: /cancelled/,
    },
    {
        args: ["status", "k1", "--pool", "cutting"],
        responses: { "GET /v1/tasks/k1": { status: 422, body: { ...task, code: 2102, state: "failed" } } },
        exitCode: 2,
        json: { code: 2102, task: { ...task, code: 2102, state: "failed" } },
        text: /failed, attempt 2/,
    },
    {
        args: ["status", "a/b", "--pool", "cutting"],
        responses: { "GET /v1/tasks/a%2Fb": { status: 404, body: taskUnknownBody } },
        exitCode: 2,
        json: { ...taskUnknownBody, name: "TaskUnknown" },
        text: /error 2104 TaskUnknown/,
    },
    {
        // The key's home cell in the example tables is herning-b/0.
        args: ["why", "k1", "--pool", "cutting"],
        responses: {
            "GET /v1/tasks/k1": okResponse(waitingTask),
            "GET /v1/config": okResponse(config),
            "GET /v1/cells": okResponse({ cells: [cell] }),
        },
        exitCode: 0,
        json: { code: 1000, task: waitingTask, homeCell: "herning-b/0", cell },
        text: /reason: no open worker has 2 cores free\nhome cell: herning-b\/0, owner scheduler-1, epoch 3\n.*1 tasks queued, 2 running\nworkers: 1 open, 1 drained\n.*4 cores/,
    },
    {
        args: ["why", "k1", "--pool", "cutting"],
        responses: {
            "GET /v1/tasks/k1": okResponse(waitingTask),
            "GET /v1/cells": { status: 503, body: { code: 2007 } },
        },
        exitCode: 0,
        json: { code: 1000, task: waitingTask },
        text: /home cell: unknown; its state cannot be read now/,
    },
    {
        args: ["cancel", "k1", "k2", "--pool", "cutting"],
        responses: {
            "POST /v1/tasks/cancel": okResponse({
                results: [
                    { key: "k1", code: 4001 },
                    { key: "k2", code: 4001 },
                ],
            }),
        },
        exitCode: 0,
        json: {
            code: 1000,
            cancelled: 2,
            results: [
                { key: "k1", code: 4001 },
                { key: "k2", code: 4001 },
            ],
        },
        text: /^2 of 2 tasks cancelled\n$/,
    },
    {
        args: ["cancel", "k1", "k2", "--pool", "cutting"],
        responses: {
            "POST /v1/tasks/cancel": okResponse({
                results: [
                    { key: "k1", code: 2104 },
                    { key: "k2", code: 3005 },
                ],
            }),
        },
        exitCode: 3,
        json: {
            code: 3005,
            cancelled: 0,
            results: [
                { key: "k1", code: 2104 },
                { key: "k2", code: 3005 },
            ],
        },
        text: /0 of 2 tasks cancelled\nk1: 2104 TaskUnknown: .*\nk2: 3005 OwnerUnreachable/,
    },
    {
        args: ["drain", "w1"],
        responses: {
            "GET /v1/cells": okResponse({ cells: [cell] }),
            "POST /v1/workers/w1/drain": okResponse({ code: 1000 }),
        },
        exitCode: 0,
        json: { code: 1000, worker: "w1", cell: "herning-b/0", command: "drain" },
        text: /w1 \(herning-b\/0\): drain is recorded/,
    },
    {
        args: ["release", "w9"],
        responses: { "GET /v1/cells": okResponse({ cells: [cell] }) },
        exitCode: 2,
        json: { code: 2001, name: "BadRequest" },
        text: /Expected the name of a worker of a cell, got "w9"/,
    },
    {
        args: ["quarantine", "w1", "--cell", "herning-b/0"],
        responses: { "POST /v1/workers/w1/quarantine": { status: 503, body: { code: 2007 } } },
        exitCode: 2,
        json: { code: 2007, name: "NoCellOwner" },
        text: /error 2007 NoCellOwner: No scheduler owns/,
    },
    {
        args: explainJob,
        input: '{"steps":[]}',
        responses: { "POST /explain": okResponse(explanation) },
        exitCode: 0,
        json: explanation,
        text: new RegExp(
            [
                "00000000000000aa \\(cell 0\\): starts on w1",
                "queue: name r-jobs, service desk, priority 0, stretch 2, needsPermits false",
                "step 0: 2 tasks of 4 cores, 8000 MB, 0 accelerators",
                "rank: 2 of 5 steps that wait",
                "ahead: 3 tasks, 4.5 processor-seconds",
                "1 steps ahead can start now as well, and may take the worker",
                "workers: 2 of 9 can take a task now",
                "  6 ruled out: has too few free processors",
                "  1 ruled out: is draining",
                "worker: w1, data centre herning-a, rack r1, 3 cores free",
                "expected start: 2026-09-21 14:13:20Z",
                "expected end of the task: 2026-09-21 14:13:21Z",
                "expected end of the job: 2026-09-21 14:13:22Z",
            ].join("\n"),
        ),
    },
    {
        args: ["explain", "--job", "-", "--pool", "cutting"],
        input: '{"key":"k1"}',
        responses: { "POST /v1/tasks/explain": okResponse(waitingExplanation) },
        exitCode: 0,
        json: waitingExplanation,
        text: /^k1 \(cell herning-b\/0\): waits\nreason: no open worker.*\n.*\nrank: 1 of 1 .*in part\)[^]*start: cannot be foreseen\n$/,
    },
    ...explainFailures.map(([status, code, message]) => ({
        args: explainJob,
        input: "{}",
        responses: { "POST /explain": { status, body: { code, message } } },
        exitCode: 2,
        json: { code, message },
        text: new RegExp(`error ${code} \\w+: ${message}`),
    })),
    {
        args: ["explain", "--job", "-"],
        responses: {},
        exitCode: 64,
        json: { code: 5004 },
        text: /Expected exactly one of --queue \(a job\) and --pool \(a task\)/,
    },
    {
        args: ["explain", "--job", "-", "--pool", "cutting"],
        input: "{",
        responses: {},
        exitCode: 2,
        json: { code: 2001 },
        text: /Expected a request in JSON for --job/,
    },
    {
        args: ["submit", "--path", "/cutting-plan", "--key", "k1", "--payload", "{}"],
        responses: { "POST /cutting-plan": { status: 202, body: { code: 1001, key: "k1" } } },
        exitCode: 0,
        json: { code: 1001, key: "k1", answer: { code: 1001, key: "k1" } },
        text: /k1: The task is recorded and will run\./,
    },
    {
        args: ["submit", "--path", "/cutting-plan", "--key", "k1", "--payload", "{}"],
        responses: { "POST /cutting-plan": { status: 422, body: { code: 2101, message: "needs 99 cores" } } },
        exitCode: 2,
        json: { code: 2101, name: "TaskFitsNoWorker", message: "needs 99 cores" },
        text: /error 2101 TaskFitsNoWorker: needs 99 cores/,
    },
];

// Guards against an unnoticed change of a command's JSON fields, text output or exit code.
t.test("commands", async t => {
    for (const { args, input, responses, exitCode, json, text } of cases) {
        const name = `${args.join(" ")} (exit ${exitCode})`;
        await withFakeServer(async server => {
            for (const [endpoint, response] of Object.entries(responses)) {
                server.setResponses(endpoint, response);
            }
            const jsonRun = await run([...args, "--address", server.address, "--json"], input);
            t.equal(jsonRun.exitCode, exitCode, name);
            t.match(jsonRun.json, json, name);
            const textRun = await run([...args, "--address", server.address], input);
            t.equal(textRun.exitCode, exitCode, name);
            t.match(textRun.out + textRun.error, text, name);
        });
    }
});

// Guards against keys of a long list that are dropped, sent twice or sent in a request that is too large.
t.test("cancel reads keys from standard input and sends them in batches", async t => {
    await withFakeServer(async server => {
        const keys = Array.from({ length: 1_100 }, (_, index) => `k${index}`);
        server.setResponses(
            "POST /v1/tasks/cancel",
            okResponse({ results: keys.map(key => ({ key, code: 4001 })) }),
        );
        const args = [
            "cancel",
            "k0",
            "--pool",
            "cutting",
            "--from",
            "-",
            "--address",
            server.address,
            "--json",
        ];
        const result = await run(args, `\n${keys.join("\r\n")}\n`);
        t.equal(result.json["cancelled"], 1_100);
        const sent = server.requests.map(({ body }) => body["keys"] as string[]);
        t.strictSame(
            sent.map(batch => batch.length),
            [500, 500, 100],
        );
        t.strictSame(sent.flat().sort(), [...keys].sort());
    });
});

// Guards against resource sizes and run-time hints that are not sent to the entry process.
t.test("submit sends resource sizes and run-time hints", async t => {
    await withFakeServer(async server => {
        server.setResponses("POST /cutting-plan", { status: 202, body: { code: 1001 } });
        const sizes = ["--processors", "1.5", "--memory-mb", "2000", "--expected-run-ms", "500"];
        const args = ["submit", "--path", "/cutting-plan", "--key", "k", "--payload-file", "-", ...sizes];
        await run([...args, "--address", server.address], "work");
        t.strictSame(server.requests[0]?.body, {
            key: "k",
            resources: { processors: 1.5, memoryMb: 2_000, accelerators: 0 },
            expectedRunMs: 500,
            payload: "work",
        });
    });
});
