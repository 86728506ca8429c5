import * as fc from "fast-check";
import t from "tap";
import { brokenStores } from "./broken-stores.js";
import { checkHistory } from "./check-history.js";
import { arbitrarySchedule } from "./arbitrary-schedule.js";
import { ScheduleRun } from "./schedule-run.js";

/** Most schedules for each broken owner; only a small share of them reveals the fault. */
const MaxSchedules = 4000;

t.setTimeout(0);

/** The loss that each broken owner must cause; a violation in its writes alone does not suffice. */
const expectedViolations: Readonly<Record<string, RegExp>> = {
    "no fencing": /acknowledged transition \d+ is lost/,
    "no re-read after a lost response": /transition \d+ was refused with \d+ and is replayed|is lost/,
    "deleting slots": /acknowledged transition \d+ is lost/,
    "snapshot without condition": /acknowledged transition \d+ is lost|cannot read the log/,
};

for (const [name, breakStore] of Object.entries(brokenStores)) {
    // Guards against a checker or schedules that miss a fault: each broken owner must be detected.
    t.test(`finds the broken owner: ${name}`, async t => {
        let found = "";
        const property = fc.asyncProperty(arbitrarySchedule(2), async operations => {
            const history = await ScheduleRun.run(2, operations, breakStore);
            found = checkHistory(history).find(problem => expectedViolations[name]?.test(problem)) ?? "";
            return found === "";
        });
        const details = await fc.check(property, { seed: 7, numRuns: MaxSchedules, endOnFailure: true });
        t.ok(details.failed, `${details.numRuns} schedules`);
        t.comment(`found in schedule ${details.numRuns}: ${found}`);
    });
}
