import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import { runUser } from "../src/run-user.js";
import { smallPlan } from "./fixtures/small-plan.js";

// Guards against the loss of tasks, slots, or requests of other entry processes when an entry process is killed.
t.test("an entry process is killed under load", async t => {
    const report = await runUser({
        plan: smallPlan,
        seed: 101,
        duringLoad: async deployment => {
            await sleep(2_000);
            deployment.process("entry-vm-1").signal("SIGKILL");
            await deployment.process("entry-vm-1").exited;
        },
    });
    t.comment(report.formatLines().join("\n"));
    t.strictSame(report.violations, []);
    // Only requests in the killed process may fail, and their callers see a connection error.
    t.equal(report.unansweredCount, report.countWithCode(0));
});

// Guards against a cell that remains without an owner, a task that the takeover loses or runs twice, and requests that
// fail because the owner is down.
t.test("the owner of a cell is killed under load", async t => {
    const report = await runUser({
        plan: smallPlan,
        seed: 102,
        requestDurationMs: 10_000,
        duringLoad: async deployment => {
            await sleep(1_000);
            const owner = deployment.process(await deployment.readCellOwner("herning-a/0"));
            owner.signal("SIGKILL");
            await owner.exited;
        },
    });
    t.comment(report.formatLines().join("\n"));
    t.strictSame(report.violations, []);
    t.strictSame(report.failures, []);
});
