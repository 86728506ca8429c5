import { parseAddress } from "@samphireward/core/parse-address";
import t from "tap";
import { loadPlan } from "../src/load-plan.js";
import { runUser } from "../src/run-user.js";
import { smallPlan } from "./fixtures/small-plan.js";

// Guards against a caller's malformed path that ends an entry process.
t.test("a malformed task key is sent to every entry process", async t => {
    const report = await runUser({
        plan: smallPlan,
        seed: 1001,
        requestDurationMs: 3_000,
        duringLoad: async deployment => {
            for (const { name, callers } of deployment.addresses.entryVms) {
                const { host, port } = parseAddress(callers);
                const res = await fetch(`http://${host}:${port}${loadPlan.kloverknap.taskPath}/%zz`);
                t.equal(res.status, 400, name);
                t.equal(res.headers.get("samphireward-code"), "2001", name);
                t.ok(deployment.process(`entry-${name}`).isRunning, `${name} is running`);
            }
        },
    });
    t.comment(report.formatLines().join("\n"));
    t.strictSame(report.violations, []);
    t.strictSame(report.failures, []);
});
