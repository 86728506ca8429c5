import * as fc from "fast-check";
import { Mutant } from "./mutant.js";
import { Schedules } from "./schedule.js";
import { Simulation } from "./simulation.js";

/** Result of a run of random schedules. */
interface CheckResult {
    readonly failed: boolean;
    /** Seed and path, with which fast-check repeats the failing schedule. */
    readonly where: string;
    /** The shrunk schedule and its violations. */
    readonly report: string;
}

/** Runs random schedules; the first violation of an invariant fails the check. */
export const checkSchedules = async (
    mutant: Mutant,
    seed: number,
    numRuns: number,
    kind: "arbitrary" | "withCrashes" = "arbitrary",
): Promise<CheckResult> => {
    const property = fc.asyncProperty(Schedules[kind], async schedule => {
        const violations = await Schedules.run(Simulation.create(schedule.seed, mutant), schedule);
        return violations.length === 0 || Promise.reject(new Error(violations.slice(0, 5).join("; ")));
    });
    const result = await fc.check(property, { seed, numRuns, endOnFailure: mutant !== Mutant.None });
    const where = `seed ${result.seed}, path ${result.counterexamplePath}`;
    return { failed: result.failed, where, report: fc.defaultReportMessage(result) ?? "" };
};
