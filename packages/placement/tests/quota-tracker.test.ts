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

// Guards against quota that cannot be borrowed, or that urgent work borrows and then cannot give back.
t.test("borrowing", t => {
    const cases: { name: string; before: number; add: number; workClass: WorkClass; ok: boolean }[] = [
        { name: "batch within quota", before: 0, add: 4, workClass: Batch, ok: true },
        { name: "batch borrows idle quota", before: 4, add: 4, workClass: Batch, ok: true },
        { name: "batch beyond all quotas", before: 8, add: 0.5, workClass: Batch, ok: false },
        { name: "urgent never borrows", before: 0, add: 4.5, workClass: LatencyCritical, ok: false },
        {
            name: "urgent starts on quota its batch holds",
            before: 4,
            add: 4,
            workClass: LatencyCritical,
            ok: true,
        },
    ];
    for (const { name, before, add, workClass, ok } of cases) {
        const ledger = QuotaTracker.create(quotas);
        t.ok(ledger.reserve("before", "a", cores(before), Batch).isOk(), name);
        t.equal(ledger.reserve("k", "a", cores(add), workClass).isOk(), ok, name);
    }
    t.notOk(
        QuotaTracker.create(quotas).admits("a", cores(5)),
        "a task above its team's quota is not admitted",
    );
    t.end();
});

// Guards against taking quota back from a team that does not exceed its own.
t.test("reclaim takes the newest borrowed batch work of others", t => {
    const ledger = QuotaTracker.create(quotas);
    ["a1", "a2", "a3", "a4"].forEach(key => ledger.reserve(key, "a", cores(2), Batch).unwrap());
    t.strictSame(ledger.planReclaim("b", cores(2), Batch), ["a4"]);
    t.strictSame(ledger.planReclaim("b", cores(4), LatencyCritical), ["a4", "a3"]);
    t.strictSame(ledger.planReclaim("b", cores(6), Batch), [], "beyond quota nothing is taken back");
    t.strictSame(ledger.planReclaim("a", cores(1), Batch), [], "a team above quota takes nothing back");
    t.end();
});

type Step = { team: string; size: number; workClass: WorkClass; release: boolean };
const step: fc.Arbitrary<Step> = fc.record({
    team: fc.constantFrom("a", "b", "c"),
    size: fc.integer({ min: 1, max: 30 }).map(tenths => tenths / 10),
    workClass: fc.constantFrom(Batch, LatencyCritical),
    release: fc.boolean(),
});

/** Runs the steps; returns what is violated, if anything. `reserve` is replaced by broken variants. */
const violation = (
    steps: readonly Step[],
    reserve: QuotaTracker["reserve"] | undefined,
): string | undefined => {
    const limits = new Map([...quotas, ["c", cores(2.5)] as const]);
    const ledger = QuotaTracker.create(limits);
    const keys: string[] = [];
    for (const [index, { team, size, workClass, release }] of steps.entries()) {
        const reserved = (reserve ?? ledger.reserve).call(ledger, `k${index}`, team, cores(size), workClass);
        if (reserved.isOk()) {
            keys.push(`k${index}`);
        } else {
            const taken = ledger.planReclaim(team, cores(size), workClass);
            taken.forEach(key => ledger.release(key));
            if (taken.length > 0 && ledger.check(team, cores(size), workClass).isErr()) {
                return "reclaimed quota does not let the task start";
            }
            const use = ledger.usage(team);
            const counted = workClass === Batch ? use.urgent.plus(use.batch) : use.urgent;
            const entitled = counted
                .plus(cores(size))
                .scale(0.999)
                .fitsIn(limits.get(team) ?? cores(0));
            if (entitled && taken.length === 0) {
                return "entitled work finds nothing to take back";
            }
        }
        if (release) {
            ledger.release(keys.shift() ?? "");
        }
        const uses = [...limits.keys()].map(name => ({ name, use: ledger.usage(name) }));
        const sum = uses.reduce((total, { use }) => total.plus(use.urgent).plus(use.batch), Resources.none);
        if (!sum.fitsIn(cores(10.500001))) {
            return "the sum of all quotas is exceeded";
        }
        if (
            uses.some(({ name, use }) => !use.urgent.fitsIn((limits.get(name) ?? cores(0)).scale(1.000001)))
        ) {
            return "urgent work exceeds its quota";
        }
    }
    return undefined;
};

// Guards against quotas that are exceeded, and against quota that a team is entitled to but cannot take back.
t.test("quota bounds hold", t => {
    const steps = fc.array(step, { maxLength: 60, size: "max" });
    fc.assert(
        fc.property(steps, steps => violation(steps, undefined) === undefined),
        { seed: 11, numRuns: 500 },
    );
    t.end();
});

// Guards against a property that cannot fail.
t.test("the property catches a ledger that counts without a check", t => {
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
            fc.property(steps, steps => violation(steps, unchecked) === undefined),
            { seed: 11, numRuns: 500 },
        ),
    );
    t.end();
});
