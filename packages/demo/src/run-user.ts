import { applyTables } from "./apply-tables.js";
import { Balancer } from "./balancer.js";
import { Caller } from "./caller.js";
import { Deployment } from "./deployment.js";
import { loadPlan } from "./load-plan.js";
import { RequestLoad } from "./request-load.js";
import { RunReport } from "./run-report.js";
import { TaskLoad } from "./task-load.js";
import type { UserPlan } from "./user-plan.js";

const DefaultRequestMs = 8_000;
const TasksTimeoutMs = 30_000;

interface RunOptions {
    readonly plan: UserPlan;
    readonly seed: number;
    /** Time during which callers send requests. */
    readonly requestMs?: number;
    /** What is needed before the processes start. */
    readonly prepare?: (deployment: Deployment) => Promise<void>;
    /** Fault that is injected while the load runs. */
    readonly disturb?: (deployment: Deployment, balancer: Balancer) => Promise<void>;
    /** Checks after the load and before everything is stopped. */
    readonly inspect?: (deployment: Deployment) => Promise<void>;
}

/** Runs one user's deployment under load and returns its report. Everything is stopped at the end. */
export const runUser = async ({
    plan,
    seed,
    requestMs = DefaultRequestMs,
    prepare,
    disturb,
    inspect,
}: RunOptions): Promise<RunReport> => {
    const deployment = Deployment.create(plan);
    const balancer = Balancer.create(deployment.addresses.entryVms);
    const caller = Caller.create(balancer);
    const load = loadPlan[plan.user as keyof typeof loadPlan];
    const requests = RequestLoad.create({ caller, ...load, seed, name: plan.user });
    const tasks = TaskLoad.create({
        balancer,
        path: load.taskPath,
        count: load.tasks,
        seed,
        name: plan.user,
    });
    try {
        await prepare?.(deployment);
        await deployment.startAll();
        await applyTables(deployment);
        balancer.start();
        await deployment.until("every entry process being ready", () => {
            return Promise.resolve(balancer.healthyCount === plan.entryVms);
        });
        await deployment.untilServing();
        await Promise.all([requests.run(requestMs), tasks.submitAll(), disturb?.(deployment, balancer)]);
        await tasks.untilEnded(TasksTimeoutMs);
        await inspect?.(deployment);
        const report = await RunReport.create(deployment, requests.results, tasks);
        const failed = await deployment.stopAll();
        report.violations.push(...failed.map(name => `${name} did not stop with exit code 0`));
        return report;
    } finally {
        balancer.stop();
        caller.close();
        tasks.close();
        await deployment.stopAll();
    }
};
