import { setTimeout as sleep } from "node:timers/promises";
import { ResultCode } from "@samphireward/core/result-code";
import t from "tap";
import type { RunReport } from "../src/run-report.js";
import { runUser } from "../src/run-user.js";
import { RunWatch } from "./fixtures/run-watch.js";
import { smallPlan } from "./fixtures/small-plan.js";

const LostDataCentre = "herning-a";
/** Longer than a task lease and its margin, so that the lost tasks are started elsewhere or wait. */
const DownMs = 9_000;

let report: RunReport | undefined;

// Guards against workers that get no requests after they came back, accepted tasks that are lost with them, tasks that are started elsewhere while they still
// run, and non-idempotent requests that are sent again because their worker was lost.
t.test("the workers of a data centre are killed under load and start again", async t => {
    report = await runUser({
        plan: smallPlan,
        seed: 801,
        // Long enough that requests are sent while the workers come back.
        requestMs: 24_000,
        disturb: async deployment => {
            const watch = RunWatch.start(deployment);
            await sleep(1_000);
            const workers = deployment.process(`workers-${LostDataCentre}`);
            // Requests that start between this read and the kill are not among the counts.
            deployment.lostCounts.push(...(await deployment.readCounts(LostDataCentre)));
            workers.signal("SIGKILL");
            await workers.ended;
            await sleep(DownMs);
            deployment.start(`workers-${LostDataCentre}`);
            await deployment.untilServing();
            await deployment.until("requests at the workers that came back", async () => {
                const counts = await deployment.readCounts(LostDataCentre);
                return counts.some(({ requests }) => Object.keys(requests).length > 0);
            });
            await watch.stop();
            t.comment(`${watch.rounds} rounds`);
            t.strictSame(watch.overlaps, []);
        },
    });
    t.comment(report.lines().join("\n"));
    t.strictSame(report.violations, []);
    // The entry processes are alive, so that a failed request fails with a code.
    t.equal(report.countOf(0), 0);
});

// Guards against an entry process that refuses requests although the other data centres have workers for them.
t.test("requests go to other data centres while a data centre is lost", t => {
    t.equal(report?.countOf(ResultCode.NoTargetReachable), 0);
    t.end();
});
