import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import type { Deployment } from "../src/deployment.js";
import { allocateAddresses } from "../src/allocate-addresses.js";
import { loadPlan } from "../src/load-plan.js";
import { runUser } from "../src/run-user.js";
import { TaskLoad } from "../src/task-load.js";
import { OverlapDetector } from "./fixtures/overlap-detector.js";
import { smallPlan } from "./fixtures/small-plan.js";
import { TcpForwarder } from "./fixtures/tcp-forwarder.js";

const seed = 1001;
const IsolatedRegion = "sjaelland";
const IsolatedDataCentre = "roskilde-a";
/** Longer than the store lease plus the takeover delay (5 s), and longer than a task lease (6 s). */
const IsolationMs = 8_000;
const TaskRunMs = 20_000;
const LongTaskCount = 30;

interface Cell {
    readonly cell: string;
    readonly owner: string;
    readonly epoch: number;
}

/** Reads which attempts are running in the isolated data centre, with their workers. */
const runningInIsolatedDataCentre = async (deployment: Deployment): Promise<string[]> => {
    const workers = deployment.addresses.workers.filter(worker => worker.dataCentre === IsolatedDataCentre);
    const lists = await Promise.all(
        workers.map(async ({ name, task }) => {
            const { tasks } = await deployment.readJson<{ tasks: { key: string; attempt: number }[] }>(
                task,
                "/v1/tasks",
            );
            return tasks
                .filter(({ key }) => key.startsWith("long-"))
                .map(({ key, attempt }) => `${key}#${attempt} on ${name}`);
        }),
    );
    return lists.flat().sort();
};

/** Waits until all entry processes see the owner recorded in the store for each cell, at the same epoch. */
const waitUntilOneOwner = (deployment: Deployment): Promise<void> =>
    deployment.waitUntil("one owner for every cell", async () => {
        const views = await Promise.all(
            deployment.addresses.entryVms.map(vm =>
                deployment.readJson<{ cells: Cell[] }>(vm.admin, "/v1/cells"),
            ),
        );
        const owners = views.map(({ cells }) =>
            cells.map(({ cell, owner, epoch }) => `${cell} ${owner} ${epoch}`),
        );
        const isSame = owners.every(view => view.sort().join() === owners[0]?.join());
        const cells = views[0]?.cells ?? [];
        const recorded = await Promise.all(cells.map(({ cell }) => deployment.readCellOwner(cell)));
        return isSame && cells.length === 3 && cells.every(({ owner }, index) => owner === recorded[index]);
    });

// Guards against requests or running tasks that fail because their region cannot reach the store, and against a cell
// with two owners after the region is connected again.
t.test("a region loses its connection to the store and regains it", async t => {
    const address = allocateAddresses(1)[0] ?? "";
    let forwarder: TcpForwarder | undefined;
    const report = await runUser({
        plan: { ...smallPlan, storeAddressByRegion: { [IsolatedRegion]: address } },
        seed,
        requestDurationMs: 20_000,
        beforeStart: async deployment => {
            forwarder = TcpForwarder.create(address, deployment.addresses.store);
            await forwarder.open();
        },
        duringLoad: async (deployment, balancer) => {
            await sleep(3_000);
            const path = loadPlan.kloverknap.taskPath;
            const load = TaskLoad.create({ balancer, path, count: 0, seed, name: "long" });
            const payload = JSON.stringify({ runMs: TaskRunMs });
            const keys = Array.from({ length: LongTaskCount }, (_, index) => `long-${index}`);
            await Promise.all(keys.map(key => load.submit({ key, payload })));
            await deployment.waitUntil("long tasks to run in the region", async () => {
                return (await runningInIsolatedDataCentre(deployment)).length > 0;
            });
            const detector = OverlapDetector.start(deployment);
            const before = await runningInIsolatedDataCentre(deployment);
            await forwarder?.cut();
            await sleep(IsolationMs);
            const after = await runningInIsolatedDataCentre(deployment);
            t.comment(`running before the cut: ${before.join(", ")}`);
            t.strictSame(
                before.filter(run => !after.includes(run)),
                [],
            );
            await forwarder?.open();
            await waitUntilOneOwner(deployment);
            await load.waitUntilEnded(60_000);
            load.close();
            await detector.stop();
            t.strictSame(detector.overlaps, []);
            t.equal(load.acceptedKeys.length, LongTaskCount);
            t.strictSame(
                load.acceptedKeys.filter(key => load.stateByKey.get(key) !== "finished"),
                [],
            );
        },
        beforeStop: waitUntilOneOwner,
    });
    await forwarder?.cut();
    t.comment(report.formatLines().join("\n"));
    t.strictSame(report.violations, []);
    t.strictSame(report.failures, []);
});
