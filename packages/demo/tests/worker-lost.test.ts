import { setTimeout as sleep } from "node:timers/promises";
import { ResultCode } from "@samphireward/core/result-code";
import t from "tap";
import type { RunReport } from "../src/run-report.js";
import { runUser } from "../src/run-user.js";
import { OverlapDetector } from "./fixtures/overlap-detector.js";
import { smallPlan } from "./fixtures/small-plan.js";

const KilledDataCentre = "herning-a";
/** Longer than a task lease and its margin, so that the lost tasks are started elsewhere or queued. */
const DownMs = 9_000;

let report: RunReport | undefined;

// Guards against restarted workers that get no requests, accepted tasks that are lost with their worker, tasks that are
// started elsewhere while they are still running, and non-idempotent requests that are retried after their worker was
// lost.
t.test("the workers of a data centre are killed under load and restarted", async t => {
    report = await runUser({
        plan: smallPlan,
        seed: 801,
        // Long enough that requests are still sent after the workers have restarted.
        requestDurationMs: 24_000,
        duringLoad: async deployment => {
            const detector = OverlapDetector.start(deployment);
            await sleep(1_000);
            const workers = deployment.process(`workers-${KilledDataCentre}`);
            // Requests that start between this read and the kill are missing from the counts.
            deployment.countsBeforeKill.push(...(await deployment.readWorkerCounts(KilledDataCentre)));
            workers.signal("SIGKILL");
            await workers.exited;
            await sleep(DownMs);
            deployment.start(`workers-${KilledDataCentre}`);
            await deployment.waitUntilServing();
            await deployment.waitUntil("requests at the restarted workers", async () => {
                const counts = await deployment.readWorkerCounts(KilledDataCentre);
                return counts.some(({ requests }) => Object.keys(requests).length > 0);
            });
            await detector.stop();
            t.comment(`${detector.roundCount} polling rounds`);
            t.strictSame(detector.overlaps, []);
        },
    });
    t.comment(report.formatLines().join("\n"));
    t.strictSame(report.violations, []);
    // The entry processes are running, so every failed request must have a result code.
    t.equal(report.countWithCode(0), 0);
});

// Guards against an entry process that refuses requests although other data centres have workers for them.
t.test("requests are routed to other data centres while one data centre has no workers", t => {
    t.equal(report?.countWithCode(ResultCode.NoTargetReachable), 0);
    t.end();
});
