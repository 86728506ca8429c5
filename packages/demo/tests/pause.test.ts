import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import { runUser } from "../src/run-user.js";
import { smallPlan } from "./fixtures/small-plan.js";

const PauseMs = 9_000;

// Guards against an owner that resumes after its lease has expired and starts tasks or grants anything in its old epoch.
t.test("the owner of a cell is paused until after its lease has expired, then resumes", async t => {
    const report = await runUser({
        plan: smallPlan,
        seed: 201,
        requestDurationMs: 14_000,
        duringLoad: async deployment => {
            await sleep(1_000);
            const owner = deployment.process(await deployment.readCellOwner("herning-a/0"));
            owner.signal("SIGSTOP");
            await sleep(PauseMs);
            owner.signal("SIGCONT");
            await sleep(2_000);
        },
    });
    t.comment(report.formatLines().join("\n"));
    t.strictSame(report.violations, []);
    t.strictSame(report.failures, []);
});
