import t from "tap";
import { runUser } from "../src/run-user.js";
import { smallPlan } from "./fixtures/small-plan.js";

const seed = 1101;
const names = ["entry-vm-0", "scheduler-vm-0"];

// Guards against a process that ends by itself during a run that is reported as free of violations.
t.test("a process that ends by itself is a violation", async t => {
    const report = await runUser({
        plan: smallPlan,
        seed,
        requestDurationMs: 2_000,
        beforeStop: async deployment => {
            for (const name of names) {
                // A second process at the same addresses fails to listen.
                await deployment.start(name).exited;
            }
        },
    });
    t.equal(report.violations.length, names.length);
    names.forEach((name, index) => {
        const expected = `^${name} ended by itself \\(exit code 1\\); its last log lines:\n(.*\n)*.*EADDRINUSE`;
        t.match(report.violations[index], new RegExp(expected));
    });
    t.match(report.formatLines().join("\n"), /EADDRINUSE/);
    t.strictSame(report.failures, []);
});

// Guards against a failed run that does not say which process ended.
t.test("the error of a failed run names a process that ended by itself", async t => {
    const run = runUser({
        plan: smallPlan,
        seed,
        beforeStart: async deployment => {
            deployment.start("store");
            await deployment.waitUntil("the store", async () => {
                await deployment.readJson(deployment.addresses.store, "/v1/stats");
                return true;
            });
            await deployment.start("store").exited;
            throw new Error("the run fails");
        },
    });
    await t.rejects(run, { message: /the run fails\n(.*\n)*store ended by itself \(exit code 1\)/ });
});
