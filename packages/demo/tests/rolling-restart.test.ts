import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import { runUser } from "../src/run-user.js";
import { smallPlan } from "./fixtures/small-plan.js";

// Guards against a graceful stop that aborts a request, refuses one that was already accepted, or loses a task.
t.test("every process of the system is restarted in turn under load", async t => {
    const report = await runUser({
        plan: smallPlan,
        seed: 401,
        requestDurationMs: 20_000,
        duringLoad: async (deployment, balancer) => {
            for (const { name } of deployment.addresses.entryVms) {
                for (const process of [`entry-${name}`, `scheduler-${name}`]) {
                    const end = await deployment.process(process).stop();
                    t.equal(end.exitCode, 0, `${process} stops gracefully`);
                    deployment.start(process);
                }
                await deployment.waitUntil(`${name} to be ready again`, () =>
                    Promise.resolve(balancer.healthyCount === smallPlan.entryVms),
                );
                await sleep(500);
            }
        },
    });
    t.comment(report.formatLines().join("\n"));
    t.strictSame(report.violations, []);
    t.strictSame(report.failures, []);
});
