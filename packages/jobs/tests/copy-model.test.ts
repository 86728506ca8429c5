import t from "tap";
import { ModelCell } from "./model-cell.js";

const ScheduleCount = Number(process.env["FAULT_SCHEDULES"] ?? 400);
const FirstSeed = Number(process.env["FIRST_SEED"] ?? 1);
const DefectScheduleCount = 200;
const TimeoutMs = 600_000;

t.setTimeout(TimeoutMs);

// Guards against copies that break a rule of callers or workers under lost and late orders, restarted workers and
// changes of owner: two runs of a task that may have one, starts after the end, uncounted failures, overcommitted workers.
t.test("the invariants hold for steps with copies under seeded fault schedules", t => {
    const copies = new Map<string, number>();
    let lateStarts = 0;
    for (let seed = FirstSeed; seed < FirstSeed + ScheduleCount; seed++) {
        const cell = ModelCell.create(seed, {}, true).run();
        cell.copies.forEach((count, outcome) => copies.set(outcome, (copies.get(outcome) ?? 0) + count));
        lateStarts += cell.checker.lateStarts;
        if (cell.violations.length > 0) {
            t.fail(`seed ${seed}: ${cell.violations.slice(0, 3).join("; ")}`);
            break;
        }
    }
    t.comment(`seeds ${FirstSeed} to ${FirstSeed + ScheduleCount - 1}`);
    t.comment(`copies ${JSON.stringify([...copies])}, starts carried out late after an end ${lateStarts}`);
    ["started", "won", "stopped", "failed", "lapsed", "withdrawn"].forEach(outcome =>
        t.ok((copies.get(outcome) ?? 0) > 0, `some copies are ${outcome}`),
    );
    t.end();
});

const defectCases = [
    { name: "a task that is done is started again", defects: { startsDoneTasks: true } },
    { name: "a step that does not allow copies has some", defects: { copiesAllSteps: true } },
    { name: "failed runs are not counted", defects: { forgetsFailures: true } },
    { name: "runs reserve less than they use", defects: { reservesHalf: true } },
    { name: "a run number is reused", defects: { reusesRunNumbers: true } },
    { name: "an end is acknowledged before it is durable", defects: { acknowledgesBeforeDurable: true } },
];

// Guards against a checker that detects no violations.
t.test("the checker detects owners with a defect", t => {
    for (const { name, defects } of defectCases) {
        let caughtBy = 0;
        for (let seed = 1; seed <= DefectScheduleCount && caughtBy === 0; seed++) {
            caughtBy = ModelCell.create(seed, defects, true).run().violations.length > 0 ? seed : 0;
        }
        t.ok(caughtBy > 0, `${name}: seed ${caughtBy}`);
    }
    t.end();
});
