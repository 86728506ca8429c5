import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { ResultCode } from "@samphireward/core/result-code";
import { SystemClock } from "@samphireward/core/system-clock";
import { Tables } from "@samphireward/core/tables";
import type { Test } from "tap";
import t from "tap";
import { CallersListener } from "../src/callers-listener.js";
import { TaskApi } from "../src/task-api.js";
import { TaskGateway } from "../src/task-gateway.js";

const tables = Tables.create(
    `
[routes.plans]
path = "/plans"
pool = "cutting"
kind = "task"
idempotent = true
maxBodyBytes = 1000
maxQueue = 10
deadline = "200 ms"
objective = { latency = "100 ms", ratio = 0.99 }
`,
    `
[links]
[zones]
a = { region = "north", cells = 1 }
[teams.plans]
quota = { processors = 30, memoryMb = 300, accelerators = 0 }
[pools.cutting]
class = "batch"
team = "plans"
zones = ["a"]
interferenceClass = "cutting"
`,
).unwrap();

/** Serves the routes of `tables`, and of `/none`, whose handler fails, until the test ends. */
const serve = async (t: Test, streamTo: () => undefined) => {
    const errors: unknown[] = [];
    const codes: number[] = [];
    const clock = SystemClock.create();
    const listener = CallersListener.create({
        clock,
        tables: () => tables,
        requests: {
            handleRoute: () => {
                throw new TypeError("request handler");
            },
        },
        tasks: TaskApi.create(TaskGateway.create({ clock, tables: () => tables, streamTo })),
        onTaskAnswered: (...[, code]) => codes.push(code),
        onUnexpectedError: err => errors.push(err),
    });
    const server = createServer((req, res) => listener.handle(req, res));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => server.close());
    const base = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const call = async (path: string, init?: RequestInit): Promise<[status: number, code: number]> => {
        const res = await fetch(base + path, init);
        const body = (await res.json()) as { code: number };
        t.equal(res.headers.get("samphireward-code"), String(body.code), "code of header and body");
        return [res.status, body.code];
    };
    return { call, errors, codes, listener };
};

// Guards against a task key that is not valid percent-encoding and ends the process.
t.test("a malformed task key is answered with 400", async t => {
    const { call, errors, listener } = await serve(t, () => undefined);
    for (const path of ["/plans/%zz", "/plans/%", "/plans/%ff", "/plans/a%2"]) {
        t.strictSame(await call(path), [400, ResultCode.BadRequest], path);
        t.strictSame(await call(path, { method: "DELETE" }), [400, ResultCode.BadRequest], path);
    }
    t.strictSame(await call("/plans/%7a"), [503, ResultCode.NoCellOwner]);
    t.strictSame(errors, []);
    t.equal(listener.taskRequestsInProgress, 0);
});

// Guards against an error in the handling of one request that ends the process or leaves the request unanswered.
t.test("an unexpected error is answered with 500 and leaves other requests alone", async t => {
    let isFaulty = true;
    const { call, errors, codes, listener } = await serve(t, () => {
        if (isFaulty) {
            throw new TypeError("task gateway");
        }
    });
    t.strictSame(await call("/plans/k"), [500, ResultCode.InternalError]);
    t.strictSame(await call("/none"), [500, ResultCode.InternalError]);
    t.strictSame(errors, [new TypeError("task gateway"), new TypeError("request handler")]);
    isFaulty = false;
    t.strictSame(await call("/plans/k"), [503, ResultCode.NoCellOwner]);
    t.strictSame(codes, [ResultCode.InternalError, ResultCode.NoCellOwner]);
    t.equal(listener.taskRequestsInProgress, 0);
});
