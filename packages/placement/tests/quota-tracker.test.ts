import { Resources } from "@samphireward/core/resources";
import { WorkClass } from "@samphireward/core/work-class";
import fc from "fast-check";
import t from "tap";
import { QuotaTracker } from "../src/quota-tracker.js";

const cores = (processors: number): Resources => Resources.create({ processors, memoryMb: processors * 100 });
const quotas = new Map([
    ["a", cores(4)],
    ["b", cores(4)],
]);
const { Batch, LatencyCritical } = WorkClass;

// Guards against idle quota that cannot be borrowed, and urgent work that borrows quota, which cannot be reclaimed.
t.test("only batch work borrows quota", t => {
    const cases: { name: string; before: number; add: number; workClass: WorkClass; ok: boolean }[] = [
        { name: "batch within quota", before: 0, add: 4, workClass: Batch, ok: true },
        { name: "batch borrows idle quota", before: 4, add: 4, workClass: Batch, ok: true },
        { name: "batch beyond the sum of all quotas", before: 8, add: 0.5, workClass: Batch, ok: false },
        { name: "urgent never borrows", before: 0, add: 4.5, workClass: LatencyCritical, ok: false },
        {
            name: "urgent starts on quota that the team's batch tasks use",
            before: 4,
            add: 4,
            workClass: LatencyCritical,
            ok: true,
        },
    ];
    for (const { name, before, add, workClass, ok } of cases) {
        const tracker = QuotaTracker.create(quotas);
        t.ok(tracker.reserve("before", "a", cores(before), Batch).isOk(), name);
        t.equal(tracker.reserve("k", "a", cores(add), workClass).isOk(), ok, name);
    }
    t.notOk(
        QuotaTracker.create(quotas).admits("a", cores(5)),
        "a task above its team's quota is not admitted",
    );
    t.end();
});

// Guards against reclaiming quota from a team that does not exceed its own.
t.test("quota is reclaimed from the newest batch tasks of teams above their quota", t => {
    const tracker = QuotaTracker.create(quotas);
    ["a1", "a2", "a3", "a4"].forEach(key => tracker.reserve(key, "a", cores(2), Batch).unwrap());
    t.strictSame(tracker.planReclaim("b", cores(2), Batch), ["a4"]);
    t.strictSame(tracker.planReclaim("b", cores(4), LatencyCritical), ["a4", "a3"]);
    t.strictSame(tracker.planReclaim("b", cores(6), Batch), [], "work beyond its quota reclaims nothing");
    t.strictSame(tracker.planReclaim("a", cores(1), Batch), [], "a team above its quota reclaims nothing");
    t.end();
});

type Step = { team: string; size: number; workClass: WorkClass; release: boolean };
const step: fc.Arbitrary<Step> = fc.record({
    team: fc.constantFrom("a", "b", "c"),
    size: fc.integer({ min: 1, max: 30 }).map(tenths => tenths / 10),
    workClass: fc.constantFrom(Batch, LatencyCritical),
    release: fc.boolean(),
});

/** Runs the steps, and returns the first violation, if any. `reserve` can be replaced by a faulty variant. */
const findViolation = (
    steps: readonly Step[],
    reserve: QuotaTracker["reserve"] | undefined,
): string | undefined => {
    const limits = new Map([...quotas, ["c", cores(2.5)] as const]);
    const tracker = QuotaTracker.create(limits);
    const keys: string[] = [];
    for (const [index, { team, size, workClass, release }] of steps.entries()) {
        const reserved = (reserve ?? tracker.reserve).call(
            tracker,
            `k${index}`,
            team,
            cores(size),
            workClass,
        );
        if (reserved.isOk()) {
            keys.push(`k${index}`);
        } else {
            const reclaimed = tracker.planReclaim(team, cores(size), workClass);
            reclaimed.forEach(key => tracker.release(key));
            if (reclaimed.length > 0 && tracker.check(team, cores(size), workClass).isErr()) {
                return "reclaimed quota does not let the task start";
            }
            const usage = tracker.usage(team);
            const countedUsage = workClass === Batch ? usage.urgent.plus(usage.batch) : usage.urgent;
            const isEntitled = countedUsage
                .plus(cores(size))
                .scale(0.999)
                .fitsIn(limits.get(team) ?? cores(0));
            if (isEntitled && reclaimed.length === 0) {
                return "work within its quota reclaims nothing";
            }
        }
        if (release) {
            tracker.release(keys.shift() ?? "");
        }
        const usages = [...limits.keys()].map(name => ({ name, usage: tracker.usage(name) }));
        const sum = usages.reduce(
            (total, { usage }) => total.plus(usage.urgent).plus(usage.batch),
            Resources.none,
        );
        if (!sum.fitsIn(cores(10.500001))) {
            return "the sum of all quotas is exceeded";
        }
        if (
            usages.some(
                ({ name, usage }) => !usage.urgent.fitsIn((limits.get(name) ?? cores(0)).scale(1.000001)),
            )
        ) {
            return "urgent work exceeds its quota";
        }
    }
    return undefined;
};

// Guards against quotas that are exceeded, and against quota that a team is entitled to but cannot reclaim.
t.test("usage stays within the quotas", t => {
    const steps = fc.array(step, { maxLength: 60, size: "max" });
    fc.assert(
        fc.property(steps, steps => findViolation(steps, undefined) === undefined),
        { seed: 11, numRuns: 500 },
    );
    t.end();
});

// Guards against a property that cannot fail.
t.test("the property detects reservations without a check", t => {
    const steps = fc.array(step, { maxLength: 60, size: "max" });
    const unchecked: QuotaTracker["reserve"] = function (
        this: QuotaTracker,
        key,
        team,
        resources,
        workClass,
    ) {
        this.reserveUnchecked(key, team, resources, workClass);
        return this.check(team, Resources.none, Batch).map(() => undefined);
    };
    t.throws(() =>
        fc.assert(
            fc.property(steps, steps => findViolation(steps, unchecked) === undefined),
            { seed: 11, numRuns: 500 },
        ),
    );
    t.end();
});
