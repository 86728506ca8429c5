import t from "tap";
import { ModelCell } from "./model-cell.js";

const Schedules = Number(process.env["FAULT_SCHEDULES"] ?? 1_000);
const BrokenSchedules = 300;
/** Seeds above the schedules of a usual run that once broke a rule. */
const FailedSeeds = [
    4_166, 8_232, 9_245, 26_744, 31_460, 51_193, 51_960, 56_291, 77_323, 79_371, 79_612, 81_862, 84_363,
];
const TimeoutMs = 600_000;

t.setTimeout(TimeoutMs);

// Guards against second runs, lost jobs and overfull workers under lost and late orders, late holds, workers that
// start again and changes of owner, in any order.
t.test("seeded schedules of faults keep what callers and workers rely on", t => {
    const seeds = [...Array.from({ length: Schedules }, (_, index) => index + 1), ...FailedSeeds];
    for (const seed of seeds) {
        const { violations } = ModelCell.create(seed).run();
        if (violations.length > 0) {
            t.fail(`seed ${seed}: ${violations.slice(0, 3).join("; ")}`);
            break;
        }
    }
    t.pass(`${seeds.length} schedules`);
    t.end();
});

const variants = [
    { name: "an end acknowledged before it is durable", broken: { acknowledgesBeforeDurable: true } },
    { name: "a start before the old lease ran out", broken: { ignoresRoster: true } },
    { name: "a run number reused", broken: { reusesRunNumbers: true } },
];

// Guards against a checker that sees nothing.
t.test("the checker catches broken owners", t => {
    for (const { name, broken } of variants) {
        let caught = false;
        for (let seed = 1; seed <= BrokenSchedules && !caught; seed++) {
            caught = ModelCell.create(seed, broken).run().violations.length > 0;
        }
        t.ok(caught, name);
    }
    t.end();
});
