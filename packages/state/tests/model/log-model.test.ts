import * as fc from "fast-check";
import t from "tap";
import { checkHistory } from "./check-history.js";
import { arbitrarySchedule } from "./operation.js";
import { ScheduleRun } from "./schedule-run.js";

const schedules = Number(process.env["FAULT_SCHEDULES"] ?? 1000);

t.setTimeout(0);

for (const { processes, seed } of [
    { processes: 2, seed: 20_261 },
    { processes: 3, seed: 20_262 },
]) {
    // Guards against a lost acknowledged transition, a replayed refused one, and two owners at the same time.
    t.test(`${processes} owners under faults, seed ${seed}`, async t => {
        let acknowledged = 0;
        let takeovers = 0;
        const property = fc.asyncProperty(arbitrarySchedule(processes), async operations => {
            const history = await ScheduleRun.run(processes, operations);
            acknowledged += history.filter(event => event.type === "acknowledged").length;
            takeovers += history.filter(event => event.type === "opened").length;
            const problems = checkHistory(history);
            return problems.length === 0 ? true : Promise.reject(new Error(problems.join("; ")));
        });
        const numRuns = Math.ceil(schedules / 2);
        const details = await fc.check(property, { seed, numRuns });
        t.notOk(details.failed, fc.defaultReportMessage(details) ?? "");
        t.comment(`${details.numRuns} schedules, ${acknowledged} acknowledged, ${takeovers} takeovers`);
        // Schedules in which nothing happens would prove nothing.
        t.ok(acknowledged > 20 * numRuns && takeovers > 2 * numRuns, `${acknowledged} ${takeovers}`);
    });
}
