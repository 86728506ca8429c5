import * as fc from "fast-check";
import type { Test } from "tap";
import { checkHistory } from "./check-history.js";
import { arbitrarySchedule } from "./arbitrary-schedule.js";
import { ScheduleRun } from "./schedule-run.js";

/** Schedules for each number of processes; `FAULT_SCHEDULES` is their total for both numbers. */
const numRuns = Math.ceil(Number(process.env["FAULT_SCHEDULES"] ?? 1000) / 2);

/** Runs random schedules with several processes that compete for one cell, and checks each history. */
export const checkOwners = async (t: Test, processes: number, seed: number): Promise<void> => {
    let acknowledged = 0;
    let takeovers = 0;
    let problems: string[] = [];
    const property = fc.asyncProperty(arbitrarySchedule(processes), async operations => {
        const history = await ScheduleRun.run(processes, operations);
        acknowledged += history.filter(event => event.type === "acknowledged").length;
        takeovers += history.filter(event => event.type === "opened").length;
        problems = checkHistory(history);
        return problems.length === 0;
    });
    const details = await fc.check(property, { seed, numRuns });
    t.notOk(details.failed, `${problems.join("; ")} ${fc.defaultReportMessage(details) ?? ""}`);
    t.comment(`${details.numRuns} schedules, ${acknowledged} acknowledged, ${takeovers} takeovers`);
    // Without appends and takeovers the schedules would test nothing.
    t.ok(acknowledged > 20 * numRuns && takeovers > 2 * numRuns, `${acknowledged} ${takeovers}`);
};
