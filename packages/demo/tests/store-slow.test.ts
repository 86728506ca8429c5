import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import { runUser } from "../src/run-user.js";
import { setStoreFault } from "./fixtures/set-store-fault.js";
import { smallPlan } from "./fixtures/small-plan.js";

/** Below the store call timeout (1 s), but too long for a request to wait for each store call. */
const StoreDelayMs = 600;

// Guards against requests that wait for the store, owners that lose their cells because renewals are slow, and writes
// that are applied twice because their responses were lost.
t.test("the store is slow for 7 s, then applies calls but loses their responses", async t => {
    const report = await runUser({
        plan: smallPlan,
        seed: 311,
        requestDurationMs: 14_000,
        duringLoad: async deployment => {
            await sleep(1_000);
            await setStoreFault(deployment, "slow", StoreDelayMs);
            await sleep(7_000);
            await setStoreFault(deployment, "lose-answers");
            await sleep(3_000);
            await setStoreFault(deployment, "none");
        },
    });
    t.comment(report.formatLines().join("\n"));
    t.strictSame(report.violations, []);
    t.strictSame(report.failures, []);
});
