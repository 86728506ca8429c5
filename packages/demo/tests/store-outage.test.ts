import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import { runUser } from "../src/run-user.js";
import { setStoreFault } from "./fixtures/set-store-fault.js";
import { smallPlan } from "./fixtures/small-plan.js";

// Guards against requests that fail, accepted tasks that are lost, and a process that cannot start while the store is
// down for longer than all leases.
t.test("the store is down for longer than the leases", async t => {
    let learnedRevision = 0;
    const report = await runUser({
        plan: smallPlan,
        seed: 301,
        requestDurationMs: 16_000,
        duringLoad: async deployment => {
            await sleep(1_000);
            await setStoreFault(deployment, "down");
            await sleep(1_000);
            await deployment.process("entry-vm-2").stop();
            deployment.start("entry-vm-2");
            const admin = deployment.addresses.entryVms[2]?.admin ?? "";
            await deployment.waitUntil(
                "the restarted process to learn the tables from its peers",
                async () => {
                    const { revision } = await deployment.readJson<{ revision: number }>(admin, "/v1/config");
                    learnedRevision = revision;
                    return revision > 0;
                },
            );
            await sleep(7_000);
            await setStoreFault(deployment, "none");
        },
    });
    t.equal(learnedRevision, 1);
    t.comment(report.formatLines().join("\n"));
    t.strictSame(report.violations, []);
    t.strictSame(report.failures, []);
});
