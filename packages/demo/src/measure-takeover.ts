import { setTimeout as sleep } from "node:timers/promises";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { Tables } from "@samphireward/core/tables";
import { applyTables } from "./apply-tables.js";
import { Balancer } from "./balancer.js";
import { Deployment } from "./deployment.js";
import { resizePlan } from "./resize-plan.js";
import { TaskLoad } from "./task-load.js";
import { userPlans } from "./user-plans.js";

const Cell = "herning-a/0";
const PollIntervalMs = 20;
const SettleMs = 3_000;

const plan = resizePlan(userPlans.kloverknap, 3, 3);

/** Returns keys of urgent tasks whose home cell is the measured cell. */
const urgentKeysOfCell = (count: number): string[] => {
    const read = (file: string): string =>
        readFileSync(join(process.cwd(), "examples", plan.user, file), "utf8");
    const tables = Tables.create(read("routes.toml"), read("pools.toml")).unwrap();
    const pool = tables.pools.get("bolt-watches");
    const keys: string[] = [];
    for (let index = 0; pool !== undefined && keys.length < count; index += 1) {
        if (String(tables.homeCell(pool, `urgent-${index}`)) === Cell) {
            keys.push(`urgent-${index}`);
        }
    }
    return keys;
};

/** Waits until a worker in the cell's data centre has started the task. */
const waitUntilStarted = async (deployment: Deployment, key: string): Promise<void> => {
    const workers = deployment.addresses.workers.filter(({ dataCentre }) => dataCentre === "herning-a");
    await deployment.waitUntil(`the start of ${key}`, async () => {
        for (;;) {
            const stats = await Promise.all(
                workers.map(({ task }) =>
                    deployment.readJson<{ starts: Record<string, number> }>(task, "/v1/stats"),
                ),
            );
            if (
                stats.some(({ starts }) => Object.keys(starts).some(attempt => attempt.startsWith(`${key}#`)))
            ) {
                return true;
            }
            await sleep(PollIntervalMs);
        }
    });
};

const measureTakeoverMs = async (
    deployment: Deployment,
    tasks: TaskLoad,
    key: string,
    signal: NodeJS.Signals,
): Promise<number> => {
    const name = await deployment.readCellOwner(Cell);
    const owner = deployment.process(name);
    const startMs = performance.now();
    owner.signal(signal);
    const submitted = tasks.submit({ key, payload: JSON.stringify({ runMs: 200 }) });
    await waitUntilStarted(deployment, key);
    const startedMs = performance.now() - startMs;
    await submitted;
    owner.signal("SIGCONT");
    if (signal === "SIGKILL") {
        deployment.start(name);
    }
    await sleep(SettleMs);
    return Math.round(startedMs);
};

const main = async (): Promise<void> => {
    const { values } = parseArgs({
        options: {
            rounds: { type: "string", default: "5" },
            signal: { type: "string", default: "SIGKILL" },
        },
    });
    const deployment = Deployment.create(plan);
    const balancer = Balancer.create(deployment.addresses.entryVms);
    const tasks = TaskLoad.create({ balancer, path: "/bolt-watch", count: 0, seed: 1, name: "urgent" });
    try {
        await deployment.startAll();
        await applyTables(deployment);
        balancer.start();
        await deployment.waitUntilServing();
        await sleep(SettleMs);
        const startsMs: number[] = [];
        for (const key of urgentKeysOfCell(Number(values.rounds))) {
            startsMs.push(await measureTakeoverMs(deployment, tasks, key, values.signal as NodeJS.Signals));
        }
        startsMs.sort((a, b) => a - b);
        process.stdout.write(`${JSON.stringify({ signal: values.signal, startsMs })}\n`);
    } finally {
        balancer.stop();
        tasks.close();
        await deployment.stopAll();
    }
};

await main();
