import t from "tap";
import { ModelCell } from "./model-cell.js";

const ScheduleCount = Number(process.env["FAULT_SCHEDULES"] ?? 1_000);
const DefectScheduleCount = 300;
/** Seeds beyond the default range that once violated an invariant. */
const FailedSeeds = [
    4_166, 8_232, 9_245, 26_744, 31_460, 51_193, 51_960, 56_291, 77_323, 79_371, 79_612, 81_862, 84_363,
];
const TimeoutMs = 600_000;

t.setTimeout(TimeoutMs);

// Guards against duplicate runs, lost jobs and overcommitted workers under any sequence of lost and delayed orders,
// delayed heartbeats, worker restarts and changes of owner.
t.test("the invariants of callers and workers hold under seeded fault schedules", t => {
    const seeds = [...Array.from({ length: ScheduleCount }, (_, index) => index + 1), ...FailedSeeds];
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

const defectCases = [
    { name: "an end is acknowledged before it is durable", defects: { acknowledgesBeforeDurable: true } },
    { name: "a task starts before the previous owner's lease has expired", defects: { ignoresRoster: true } },
    { name: "a run number is reused", defects: { reusesRunNumbers: true } },
];

// Guards against a checker that detects no violations.
t.test("the checker detects defective owners", t => {
    for (const { name, defects } of defectCases) {
        let caught = false;
        for (let seed = 1; seed <= DefectScheduleCount && !caught; seed++) {
            caught = ModelCell.create(seed, defects).run().violations.length > 0;
        }
        t.ok(caught, name);
    }
    t.end();
});
