import t from "tap";
import { checkSchedules } from "./faults/check-schedules.js";
import { Mutant } from "./faults/mutant.js";

const Seed = 20261204;
const MaxRuns = 400;

/** Mutants that show only with tasks that crash their workers and with changes of capacity. */
const crashMutants: readonly Mutant[] = [
    Mutant.NoDurableLosses,
    Mutant.StaleCapacity,
    Mutant.CutLooksLikeCrash,
];

t.setTimeout(0);

// Guards against a checker that misses violations: each of these mutants breaks one rule.
for (const mutant of Object.values(Mutant).filter(name => name !== Mutant.None)) {
    t.test(`the checker catches ${mutant}`, { timeout: 0 }, async t => {
        const kind = crashMutants.includes(mutant) ? "withCrashes" : "arbitrary";
        const result = await checkSchedules(mutant, Seed, MaxRuns, kind);
        t.ok(result.failed, `no violation in ${MaxRuns} schedules`);
        t.comment(result.where);
    });
}
