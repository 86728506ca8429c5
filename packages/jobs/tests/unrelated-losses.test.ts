import t from "tap";
import type { CrashDay } from "./crash-day.js";
import { CrashModel } from "./crash-model.js";
import { drawCrashDay } from "./draw-crash-day.js";

const SeedCount = Number(process.env["LOSS_SCHEDULES"] ?? 40);
const TimeoutMs = 600_000;

t.setTimeout(TimeoutMs);

const findViolations = (seedCount: number, dayOf: (seed: number) => CrashDay): string[] => {
    const failed: string[] = [];
    for (let seed = 1; seed <= seedCount; seed++) {
        const { violations } = CrashModel.create(seed, dayOf(seed)).run();
        if (violations.length > 0) {
            failed.push(`seed ${seed}: ${violations.slice(0, 3).join("; ")}`);
        }
    }
    return failed;
};

const common = { hasRealHeartbeats: true, faultsEndMs: 45_000, durationMs: 105_000 };
const crashes = { everyMs: 2_000, share: 0.14, downMs: 3_200, isDark: true };
const cuts = { everyMs: 8_000, share: 0.3, crashShare: 0.3 };

const days: readonly { name: string; day: CrashDay }[] = [
    // Guards against starts after a lost lease that meet the next crash at the same age each time.
    { name: "14% crash every 2 s without a trace", day: { ...common, deadlyShare: 0, losses: crashes } },
    // Guards against the same where the crashes are as far apart as a start and the next one after a lost lease.
    {
        name: "half of the workers crash every 6 s",
        day: { ...common, deadlyShare: 0, losses: { ...crashes, everyMs: 6_000, share: 0.5, isDark: false } },
    },
    // Guards against losses that each owner counts anew, and against crashes by tasks that no owner counts.
    {
        name: "crashes and changes of owner",
        day: { ...common, deadlyShare: 0.1, takeOvers: 0.01, losses: { ...crashes, everyMs: 3_000 } },
    },
    // Guards against workers that count as crashed because a new owner has not reached them.
    {
        name: "cuts longer than a lease and changes of owner",
        day: { ...common, deadlyShare: 0.1, takeOvers: 0.01, cuts, keepsIds: true },
    },
    // Guards against losses of racks that count against the tasks that had just started there.
    {
        name: "racks that crash",
        day: { ...common, deadlyShare: 0, losses: { ...crashes, everyMs: 5_000, share: 0.25, byRack: true } },
    },
];

// Guards against sound jobs that end as failed because workers crash soon after their starts, and against deadly tasks that
// go on to crash workers because their crashes are taken for unrelated ones.
t.test("unrelated losses fail no sound job, and deadly tasks do not go on to crash workers", t => {
    const failed = findViolations(SeedCount, drawCrashDay);
    t.strictSame(failed.slice(0, 5), [], `drawn days: ${failed.length} of ${SeedCount}`);
    t.end();
});

// Guards against the same on days of one kind, which tell what the cause is.
t.test("no kind of unrelated loss fails sound jobs or hides deadly tasks", t => {
    for (const { name, day } of days) {
        const failed = findViolations(SeedCount, () => day);
        t.strictSame(failed.slice(0, 3), [], `${name}: ${failed.length} of ${SeedCount}`);
    }
    t.end();
});

// Guards against a checker that detects no deadly task because unrelated losses are there as well.
t.test("the checker detects an owner that forgets the crashes under previous owners", t => {
    const day = { ...common, deadlyShare: 0.2, takeOvers: 0.02, losses: { ...crashes, share: 0.05 } };
    const startsTooOften = (seed: number, forgets: readonly string[]): boolean =>
        CrashModel.create(seed, { ...day, forgets })
            .run()
            .violations.some(violation => violation.includes("starts 3 times more"));
    let seed = 1;
    while (seed < SeedCount && !startsTooOften(seed, ["suspicion", "crashes"])) {
        seed++;
    }
    t.ok(startsTooOften(seed, ["suspicion", "crashes"]), `seed ${seed}`);
    t.notOk(startsTooOften(seed, []), `seed ${seed} with an owner that forgets nothing`);
    t.end();
});
