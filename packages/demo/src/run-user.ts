import { describeError } from "@samphireward/core/describe-error";
import { applyTables } from "./apply-tables.js";
import { Balancer } from "./balancer.js";
import { Caller } from "./caller.js";
import { Deployment } from "./deployment.js";
import { findUnexpectedErrors } from "./find-unexpected-errors.js";
import { loadPlan } from "./load-plan.js";
import { RequestLoad } from "./request-load.js";
import { RunReport } from "./run-report.js";
import { TaskLoad } from "./task-load.js";
import type { UserPlan } from "./user-plan.js";

const DefaultRequestDurationMs = 8_000;
const TasksTimeoutMs = 30_000;

interface RunOptions {
    readonly plan: UserPlan;
    readonly seed: number;
    /** Time during which callers send requests. */
    readonly requestDurationMs?: number;
    /** Called before the processes start. */
    readonly beforeStart?: (deployment: Deployment) => Promise<void>;
    /** Called when the load starts, for example to inject a fault. */
    readonly duringLoad?: (deployment: Deployment, balancer: Balancer) => Promise<void>;
    /** Called after the load and before the processes are stopped. */
    readonly beforeStop?: (deployment: Deployment) => Promise<void>;
}

/**
 * Runs one user's deployment under load and returns its report. Stops all processes at the end. A process that ended by
 * itself is a violation, and is named in the error when the run fails.
 */
export const runUser = async ({
    plan,
    seed,
    requestDurationMs = DefaultRequestDurationMs,
    beforeStart,
    duringLoad,
    beforeStop,
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
        await beforeStart?.(deployment);
        await deployment.startAll();
        await applyTables(deployment);
        balancer.start();
        await deployment.waitUntil("every entry process to be ready", () => {
            return Promise.resolve(balancer.healthyCount === plan.entryVms);
        });
        await deployment.waitUntilServing();
        await Promise.all([
            requests.run(requestDurationMs),
            tasks.submitAll(),
            duringLoad?.(deployment, balancer),
        ]);
        await tasks.waitUntilEnded(TasksTimeoutMs);
        await beforeStop?.(deployment);
        const report = await RunReport.create(deployment, requests.results, tasks);
        await deployment.stopAll();
        report.violations.push(...deployment.unexpectedExits(), ...findUnexpectedErrors(deployment.dir));
        return report;
    } catch (err) {
        const exits = deployment.unexpectedExits();
        throw exits.length === 0 ? err : new Error([describeError(err), ...exits].join("\n"), { cause: err });
    } finally {
        balancer.stop();
        caller.close();
        tasks.close();
        await deployment.stopAll();
    }
};
