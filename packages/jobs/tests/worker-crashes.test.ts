import t from "tap";
import { CrashModel } from "./crash-model.js";

const SeedCount = Number(process.env["CRASH_SCHEDULES"] ?? 40);
const TimeoutMs = 600_000;

t.setTimeout(TimeoutMs);

const days = [
    { name: "one owner", day: { deadlyShare: 0.15 } },
    { name: "workers that keep their ids", day: { deadlyShare: 0.15, keepsIds: true } },
    { name: "changes of owner", day: { deadlyShare: 0.15, takeOvers: 0.02 } },
    { name: "a rack that is lost", day: { deadlyShare: 0.1, rackLostAtMs: 7_000 } },
    { name: "workers that are cut off", day: { deadlyShare: 0.1, cutAtMs: 7_000 } },
    { name: "a rack and owners", day: { deadlyShare: 0.1, rackLostAtMs: 7_000, takeOvers: 0.02 } },
    { name: "cuts and owners", day: { deadlyShare: 0.1, cutAtMs: 7_000, takeOvers: 0.02, keepsIds: true } },
    { name: "a rack alone", day: { deadlyShare: 0, rackLostAtMs: 7_000, takeOvers: 0.02 } },
    { name: "half of the jobs", day: { deadlyShare: 0.5 } },
];

// Guards against a task that crashes one worker after the other, and against jobs that are given up because their tasks
// ran beside such a task.
t.test("a task that crashes its workers is given up, and its neighbours are not", t => {
    for (const { name, day } of days) {
        const failed: string[] = [];
        for (let seed = 1; seed <= SeedCount; seed++) {
            const { violations } = CrashModel.create(seed, day).run();
            if (violations.length > 0) {
                failed.push(`seed ${seed}: ${violations.slice(0, 3).join("; ")}`);
            }
        }
        t.strictSame(failed.slice(0, 3), [], `${name}: ${failed.length} of ${SeedCount}`);
    }
    t.end();
});

// Guards against a checker that detects nothing.
t.test("the checker detects an owner that does not know which worker may have crashed", t => {
    const day = { deadlyShare: 0.15, takeOvers: 0.02, forgets: ["suspectWorker"] };
    let caught = false;
    for (let seed = 1; seed <= SeedCount && !caught; seed++) {
        caught = CrashModel.create(seed, day).run().violations.length > 0;
    }
    t.ok(caught);
    t.end();
});
