import * as fc from "fast-check";
import t from "tap";
import { Mutant } from "./faults/mutant.js";
import { Schedules } from "./faults/schedule.js";
import { Simulation } from "./faults/simulation.js";

const Seed = 20261204;
const Runs = Number(process.env["FAULT_SCHEDULES"] ?? 1000);
const MutantRuns = 400;

t.setTimeout(0);

const check = async (mutant: Mutant, numRuns: number) => {
    const property = fc.asyncProperty(Schedules.arbitrary, async schedule => {
        const violations = await Schedules.run(Simulation.create(schedule.seed, mutant), schedule);
        return violations.length === 0 || Promise.reject(new Error(violations.slice(0, 5).join("; ")));
    });
    return fc.check(property, { seed: Seed, numRuns, endOnFailure: mutant !== Mutant.None });
};

// Guards against every fault of section 2 that the owner, the log and the workers can cause together: two
// running copies, overcommitted workers, lost or repeated ends, and refusals that ran.
t.test("random schedules of faults keep the invariants", { timeout: 0 }, async t => {
    const result = await check(Mutant.None, Runs);
    t.notOk(result.failed, `seed ${result.seed}, path ${result.counterexamplePath}`);
    if (result.failed) {
        t.comment(fc.defaultReportMessage(result));
    }
});

// Guards against a checker that sees nothing: each of these owners breaks one rule.
for (const mutant of Object.values(Mutant).filter(name => name !== Mutant.None)) {
    t.test(`the checker catches ${mutant}`, { timeout: 0 }, async t => {
        const result = await check(mutant, MutantRuns);
        t.ok(result.failed, `${MutantRuns} schedules found nothing`);
        t.comment(`found by schedule ${result.numRuns} of seed ${Seed}: ${String(result.errorInstance)}`);
    });
}
