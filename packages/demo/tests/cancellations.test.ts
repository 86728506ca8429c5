import { setTimeout as sleep } from "node:timers/promises";
import { JsonClient } from "@samphireward/core/json-client";
import t from "tap";
import type { Deployment } from "../src/deployment.js";
import { loadPlan } from "../src/load-plan.js";
import { runUser } from "../src/run-user.js";
import { TaskLoad } from "../src/task-load.js";
import { smallPlan } from "./fixtures/small-plan.js";

const seed = 901;
const TaskCount = 1_000;
const SubmitterCount = 50;
/** Longer than any wait in the test, so that only a cancellation ends the tasks. */
const TaskRunMs = 600_000;

interface Cell {
    readonly queued: number;
    readonly running: number;
    readonly workers: readonly { readonly name: string; readonly tasks: number; readonly reserved: object }[];
}

const readCells = async (deployment: Deployment): Promise<readonly Cell[]> => {
    const admin = deployment.addresses.entryVms[0]?.admin ?? "";
    return (await deployment.readJson<{ cells: Cell[] }>(admin, "/v1/cells")).cells;
};

/** Waits until the cells' owners count no tasks and every worker reports that it is running none. */
const waitUntilIdle = (deployment: Deployment): Promise<void> =>
    deployment.waitUntil("idle workers in every cell", async () => {
        const cells = await readCells(deployment);
        const inventories = await Promise.all(
            deployment.addresses.workers.map(worker =>
                deployment.readJson<{ tasks: unknown[] }>(worker.task, "/v1/tasks"),
            ),
        );
        const isIdle = cells.every(cell => cell.queued === 0 && cell.running === 0);
        return cells.length === 3 && isIdle && inventories.every(({ tasks }) => tasks.length === 0);
    });

const submitAll = async (load: TaskLoad): Promise<void> => {
    const keys = Array.from({ length: TaskCount }, (_, index) => `long-${index}`);
    const submitter = async (): Promise<void> => {
        for (let key = keys.shift(); key !== undefined; key = keys.shift()) {
            await load.submit({ key, payload: JSON.stringify({ runMs: TaskRunMs }) });
        }
    };
    await Promise.all(Array.from({ length: SubmitterCount }, submitter));
};

/** Cancels all tasks in one call to the admin port and returns the number of results by code. */
const cancelAll = async (deployment: Deployment, keys: readonly string[]): Promise<Map<number, number>> => {
    const client = JsonClient.create(deployment.addresses.entryVms[0]?.admin ?? "");
    const options = { body: { pool: "cutting", keys }, timeoutMs: 30_000 };
    const { body } = await client.call("POST", "/v1/tasks/cancel", options);
    client.close();
    const counts = new Map<number, number>();
    for (const { code } of (body as { results: { code: number }[] }).results) {
        counts.set(code, (counts.get(code) ?? 0) + 1);
    }
    return counts;
};

// Guards against a burst of cancellations of which some are lost, and against cancelled tasks that stay queued or
// running or whose reservations are not released.
t.test("1,000 queued and running tasks are cancelled at once", async t => {
    const report = await runUser({
        plan: smallPlan,
        seed,
        requestDurationMs: 20_000,
        duringLoad: async (deployment, balancer) => {
            // The tasks of the background load end first, so that all remaining tasks belong to this test.
            await sleep(2_000);
            await waitUntilIdle(deployment);
            const before = await readCells(deployment);
            const path = loadPlan.kloverknap.taskPath;
            const load = TaskLoad.create({ balancer, path, count: 0, seed, name: "long" });
            await submitAll(load);
            t.equal(load.acceptedKeys.length, TaskCount);
            const busy = await readCells(deployment);
            const queued = busy.reduce((sum, cell) => sum + cell.queued, 0);
            const running = busy.reduce((sum, cell) => sum + cell.running, 0);
            t.comment(`queued ${queued}, running ${running}`);
            t.ok(queued > 0 && running > 0, "some tasks are queued and some are running");
            const codes = await cancelAll(deployment, load.acceptedKeys);
            t.comment(`cancelled, by code: ${JSON.stringify([...codes])}`);
            t.ok(await load.waitUntilEnded(60_000), "every task has ended");
            load.close();
            const states = load.acceptedKeys.map(key => load.stateByKey.get(key) ?? "unknown");
            t.strictSame(
                states.filter(state => !["cancelled", "finished"].includes(state)),
                [],
            );
            await waitUntilIdle(deployment);
            const after = await readCells(deployment);
            const workerReservations = (cells: readonly Cell[]): object[] =>
                cells.flatMap(cell =>
                    cell.workers.map(({ name, tasks, reserved }) => ({ name, tasks, reserved })),
                );
            t.strictSame(workerReservations(after), workerReservations(before));
        },
    });
    t.comment(report.formatLines().join("\n"));
    t.strictSame(report.violations, []);
    t.strictSame(report.failures, []);
});
