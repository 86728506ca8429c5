import { setTimeout as sleep } from "node:timers/promises";
import { JsonClient } from "@samphireward/core/json-client";
import t from "tap";
import type { Deployment } from "../src/deployment.js";
import { loadPlan } from "../src/load-plan.js";
import { runUser } from "../src/run-user.js";
import { TaskLoad } from "../src/task-load.js";
import { smallPlan } from "./fixtures/small-plan.js";

const LeavingWorker = "herning-a-w0";
/** Time after which a leaving target receives no new work (docs/design.md, section 2). */
const GraceMs = 5_000;
const ObservationMs = 4_000;
const seed = 701;

interface Counts {
    readonly requests: number;
    readonly starts: number;
}

/** Reads the number of requests and task starts of each worker, by worker name. */
const readCounts = async (deployment: Deployment): Promise<Map<string, Counts>> => {
    const entries = await Promise.all(
        deployment.addresses.workers.map(async ({ name, task }) => {
            const stats = await deployment.readJson<{ requests: object; starts: object }>(task, "/v1/stats");
            const requests = Object.keys(stats.requests).length;
            return [name, { requests, starts: Object.keys(stats.starts).length }] as const;
        }),
    );
    return new Map(entries);
};

const markLeaving = async (deployment: Deployment): Promise<void> => {
    const { directory } = deployment.addresses;
    const client = JsonClient.create(directory);
    await client.call("POST", `/v1/vms/${LeavingWorker}/leaving`, { timeoutMs: 2_000 });
    client.close();
    await deployment.waitUntil("the VM list to show the worker as leaving", async () => {
        const { vms } = await deployment.readJson<{ vms: { name: string; leaving: boolean }[] }>(
            directory,
            "/v1/vms",
        );
        return vms.some(vm => vm.name === LeavingWorker && vm.leaving);
    });
};

const countAtOtherWorkers = (counts: Map<string, Counts>, kind: keyof Counts): number =>
    [...counts].filter(([name]) => name !== LeavingWorker).reduce((sum, [, worker]) => sum + worker[kind], 0);

// Guards against requests and task starts that still reach a worker after the VM directory shows it as leaving, and
// against requests that are lost because it leaves.
t.test("a worker is marked as leaving under load", async t => {
    const report = await runUser({
        plan: smallPlan,
        seed,
        requestDurationMs: 14_000,
        duringLoad: async (deployment, balancer) => {
            await sleep(1_500);
            const atStart = await readCounts(deployment);
            t.ok((atStart.get(LeavingWorker)?.requests ?? 0) > 0, "the worker received requests before");
            t.ok((atStart.get(LeavingWorker)?.starts ?? 0) > 0, "the worker started tasks before");
            await markLeaving(deployment);
            await sleep(GraceMs);
            const before = await readCounts(deployment);
            const path = loadPlan.kloverknap.taskPath;
            const late = TaskLoad.create({ balancer, path, count: 100, seed, name: "late" });
            await Promise.all([late.submitAll(), sleep(ObservationMs)]);
            await late.waitUntilEnded(30_000);
            late.close();
            const after = await readCounts(deployment);
            t.comment(JSON.stringify({ before: [...before], after: [...after] }));
            t.strictSame(after.get(LeavingWorker), before.get(LeavingWorker));
            t.ok(
                countAtOtherWorkers(after, "requests") > countAtOtherWorkers(before, "requests"),
                "other workers receive requests",
            );
            t.ok(
                countAtOtherWorkers(after, "starts") - countAtOtherWorkers(before, "starts") >= 100,
                "other workers start tasks",
            );
            t.strictSame(
                late.acceptedKeys.filter(key => late.stateByKey.get(key) !== "finished"),
                [],
            );
            t.equal(late.acceptedKeys.length, 100);
        },
    });
    t.comment(report.formatLines().join("\n"));
    t.strictSame(report.violations, []);
    t.strictSame(report.failures, []);
});
