import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { applyTables } from "./apply-tables.js";
import { Balancer } from "./balancer.js";
import { Deployment } from "./deployment.js";
import type { ProcessUsage } from "./process-usage.js";
import { resizePlan } from "./resize-plan.js";
import { TaskLoad } from "./task-load.js";
import { userPlans } from "./user-plans.js";

const SettleMs = 12_000;
const MeasurementMs = 10_000;
const EndTimeoutMs = 20_000;
const DataCentreCount = userPlans.kloverknap.dataCentres.length;

/** One measurement of a series: the size of the deployment and the rate of task starts. */
interface MeasurementPoint {
    readonly entryVms: number;
    readonly workers: number;
    readonly startsPerSecond: number;
}

const pointsBySlope: Readonly<Record<string, readonly MeasurementPoint[]>> = {
    vms: [3, 6, 12].map(entryVms => ({ entryVms, workers: 30, startsPerSecond: 0 })),
    workers: [9, 30, 90].map(workers => ({ entryVms: 3, workers, startsPerSecond: 0 })),
    starts: [5, 20, 60].map(startsPerSecond => ({ entryVms: 3, workers: 30, startsPerSecond })),
};

const processNames = (deployment: Deployment, role: string): string[] =>
    deployment.addresses.entryVms.map(({ name }) => `${role}-${name}`);

const readUsages = (deployment: Deployment, role: string): Promise<ProcessUsage[]> =>
    Promise.all(processNames(deployment, role).map(name => deployment.process(name).readUsage()));

const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;

const summarize = (
    before: readonly ProcessUsage[],
    after: readonly ProcessUsage[],
): Record<string, number> => {
    const seconds = MeasurementMs / 1000;
    const rate = (field: keyof ProcessUsage): number[] =>
        after.map((usage, index) => (usage[field] - (before[index]?.[field] ?? 0)) / seconds);
    const round = (value: number): number => Math.round(value * 10) / 10;
    const bytes = rate("bytesRead").map((read, index) => read + (rate("bytesWritten")[index] ?? 0));
    return {
        cpuMsPerSecond: round(mean(rate("cpuMs"))),
        cpuMsPerSecondMax: round(Math.max(...rate("cpuMs"))),
        rssMb: round(Math.max(...after.map(usage => usage.rssMb))),
        bytesPerSecond: Math.round(mean(bytes)),
        bytesPerSecondMax: Math.round(Math.max(...bytes)),
    };
};

const readStoreCalls = async (deployment: Deployment): Promise<Record<string, number>> => {
    const { calls } = await deployment.readJson<{ calls: Record<string, number> }>(
        deployment.addresses.store,
        "/v1/stats",
    );
    return calls;
};

const submitAtRate = async (tasks: TaskLoad, rate: number): Promise<void> => {
    const startMs = performance.now();
    const total = (rate * MeasurementMs) / 1000;
    const pending: Promise<void>[] = [];
    for (let index = 0; index < total; index += 1) {
        await sleep(Math.max(0, startMs + (index * 1000) / rate - performance.now()));
        pending.push(tasks.submit({ key: `task-${index}`, payload: JSON.stringify({ runMs: 500 }) }));
    }
    await Promise.all(pending);
};

const measurePoint = async (point: MeasurementPoint): Promise<void> => {
    const deployment = Deployment.create(
        resizePlan(userPlans.kloverknap, point.entryVms, point.workers / DataCentreCount),
    );
    const balancer = Balancer.create(deployment.addresses.entryVms);
    const tasks = TaskLoad.create({ balancer, path: "/cutting-plan", count: 0, seed: 1, name: "measure" });
    try {
        await deployment.startAll();
        await applyTables(deployment);
        balancer.start();
        await deployment.waitUntilServing();
        await sleep(SettleMs);
        const before = {
            entry: await readUsages(deployment, "entry"),
            scheduler: await readUsages(deployment, "scheduler"),
        };
        const callsBefore = await readStoreCalls(deployment);
        await Promise.all([
            sleep(MeasurementMs),
            point.startsPerSecond > 0 ? submitAtRate(tasks, point.startsPerSecond) : undefined,
        ]);
        const callsAfter = await readStoreCalls(deployment);
        const perSecond = Object.fromEntries(
            Object.entries(callsAfter).map(([kind, count]) => [
                kind,
                Math.round(((count - (callsBefore[kind] ?? 0)) * 10_000) / MeasurementMs) / 10,
            ]),
        );
        for (const role of ["entry", "scheduler"] as const) {
            const usage = summarize(before[role], await readUsages(deployment, role));
            process.stdout.write(`${JSON.stringify({ ...point, role, ...usage })}\n`);
        }
        process.stdout.write(`${JSON.stringify({ ...point, role: "store", callsPerSecond: perSecond })}\n`);
        await tasks.waitUntilEnded(EndTimeoutMs);
    } finally {
        balancer.stop();
        tasks.close();
        await deployment.stopAll();
    }
};

const { values } = parseArgs({ options: { slope: { type: "string", default: "vms" } } });
for (const point of pointsBySlope[values.slope] ?? []) {
    await measurePoint(point);
}
