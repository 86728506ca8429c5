import * as fc from "fast-check";
import t from "tap";
import type { OwnerDisruption } from "./owner-disruption.js";
import { OwnerModel } from "./owner-model.js";
import type { OwnerSchedule } from "./owner-schedule.js";

const ScheduleCount = Number(process.env["FAULT_SCHEDULES"] ?? 60);
const DefectScheduleCount = 60;
const Seed = 26;
const TimeoutMs = 3_600_000;

t.setTimeout(TimeoutMs);

const kinds: readonly OwnerDisruption["kind"][] = [
    "cut",
    "cut",
    "restart",
    "restart",
    "kill",
    "kill",
    "stop",
    "store-down",
    "stale-registrations",
];

const tens = (minMs: number, maxMs: number): fc.Arbitrary<number> =>
    fc.integer({ min: minMs / 10, max: maxMs / 10 }).map(value => value * 10);

const disruption: fc.Arbitrary<OwnerDisruption> = fc.record({
    kind: fc.constantFrom(...kinds),
    worker: fc.nat(2),
    atMs: tens(500, 22_000),
    // A restart takes longer than the pause between two heartbeats.
    durationMs: tens(200, 9_000),
});

/**
 * The owner is lost at about the time at which a worker answers again that was silent for less than a lease, and the next
 * one may not reach that worker.
 */
const handover: fc.Arbitrary<OwnerDisruption[]> = fc
    .record({
        worker: fc.nat(2),
        cutAtMs: tens(3_000, 16_000),
        cutMs: tens(2_300, 4_500),
        loss: fc.constantFrom("kill", "kill", "stop"),
        lossAfterMs: tens(-800, 1_500),
        claimMs: tens(20, 400),
        cutAgainAfterMs: tens(-300, 500),
        cutAgainMs: tens(2_000, 7_000),
        secondLossAfterMs: fc.option(tens(100, 1_500)),
        storeDownMs: fc.option(tens(200, 3_000)),
    })
    .map(each => {
        const { worker, cutAtMs, cutMs, loss, claimMs } = each;
        const backAtMs = cutAtMs + cutMs;
        const lossAtMs = backAtMs + each.lossAfterMs + (each.storeDownMs ?? 0);
        const disruptions: OwnerDisruption[] = [
            { kind: "cut", worker, atMs: cutAtMs, durationMs: cutMs },
            { kind: loss, worker, atMs: lossAtMs, durationMs: claimMs },
            {
                kind: "cut",
                worker,
                atMs: lossAtMs + each.cutAgainAfterMs,
                durationMs: each.cutAgainMs,
            },
        ];
        if (each.secondLossAfterMs !== null) {
            const atMs = lossAtMs + claimMs + each.secondLossAfterMs;
            disruptions.push({ kind: "kill", worker, atMs, durationMs: claimMs });
        }
        if (each.storeDownMs !== null) {
            const atMs = backAtMs - 300;
            disruptions.push({ kind: "store-down", worker, atMs, durationMs: each.storeDownMs + 300 });
        }
        return disruptions;
    });

const schedules: fc.Arbitrary<OwnerSchedule> = fc.record({
    seed: fc.nat(1_000_000),
    faultRate: fc.constantFrom(0.000_5, 0.005, 0.03),
    disruptions: fc.oneof(
        fc.array(disruption, { maxLength: 8, size: "max" }),
        fc.array(handover, { minLength: 1, maxLength: 2 }).map(lists => lists.flat()),
        handover,
    ),
});

const check = (
    numRuns: number,
    defects: Parameters<typeof OwnerModel.create>[1],
    seed = Seed,
    disrupted = schedules,
): Promise<fc.RunDetails<[OwnerSchedule]>> =>
    fc.check(
        fc.asyncProperty(disrupted, async schedule => {
            const violations = await OwnerModel.create(schedule, defects).run();
            return violations.length === 0 || Promise.reject(new Error(violations.join("; ")));
        }) as fc.IAsyncProperty<[OwnerSchedule]>,
        { seed, numRuns, endOnFailure: true, includeErrorInReport: true },
    );

// Guards against a task that runs twice, a worker over its capacity or a job that never ends when owners change while
// workers are cut off, restart or answer late, whatever the store has of the last roster.
t.test("no task runs twice across changes of owner", async t => {
    const result = await check(ScheduleCount, {}, Number(process.env["FAULT_SEED"] ?? Seed));
    t.notOk(result.failed, fc.defaultReportMessage(result) ?? "");
});

const overlaps: fc.Arbitrary<OwnerSchedule> = fc.record({
    seed: fc.nat(1_000_000),
    faultRate: fc.constantFrom(0.000_5, 0.005, 0.03),
    disruptions: fc.array(
        fc.record({
            kind: fc.constant("overlap" as const),
            worker: fc.nat(2),
            atMs: tens(3_000, 22_000),
            durationMs: tens(100, 8_000),
        }),
        { minLength: 1, maxLength: 3 },
    ),
});

// Guards against a hand-over around which two owners act: an owner that has lost the store, or was paused, goes on with
// its orders and heartbeats while the next one has the cell.
t.test("no task runs twice while an owner goes on beside the next one", async t => {
    const result = await check(ScheduleCount, {}, Number(process.env["FAULT_SEED"] ?? Seed), overlaps);
    t.notOk(result.failed, fc.defaultReportMessage(result) ?? "");
});

/** The next owner has no path to some workers, for different times, while the previous one goes on reaching them. */
const partialOverlaps: fc.Arbitrary<OwnerSchedule> = fc.record({
    seed: fc.nat(1_000_000),
    faultRate: fc.constantFrom(0.000_5, 0.005),
    disruptions: fc
        .record({
            atMs: tens(3_000, 16_000),
            overlapMs: tens(3_000, 9_000),
            cutsMs: fc.array(fc.option(tens(3_000, 9_000), { freq: 4 }), { minLength: 3, maxLength: 3 }),
        })
        .map(({ atMs, overlapMs, cutsMs }): OwnerDisruption[] => [
            { kind: "overlap", worker: 0, atMs, durationMs: overlapMs },
            ...cutsMs.flatMap((cutMs, worker) =>
                cutMs === null ? [] : [{ kind: "cut-from-next" as const, worker, atMs, durationMs: cutMs }],
            ),
        ]),
});

// Guards against a lease that a previous owner, cut off from the store, extends beyond the time for which the next one
// waits, on a worker that only the previous one reaches.
t.test("no task runs twice while only the previous owner reaches a worker", async t => {
    const result = await check(ScheduleCount, {}, Number(process.env["FAULT_SEED"] ?? Seed), partialOverlaps);
    t.notOk(result.failed, fc.defaultReportMessage(result) ?? "");
});

/** The next owner reaches one worker just before the leases of the others end. */
const lateContact: fc.Arbitrary<OwnerSchedule> = fc.record({
    seed: fc.nat(1_000_000),
    faultRate: fc.constant(0.000_5),
    disruptions: fc
        .record({ atMs: tens(5_000, 16_000), cutMs: tens(2_500, 3_800) })
        .map(({ atMs, cutMs }): OwnerDisruption[] => [
            { kind: "overlap", worker: 0, atMs, durationMs: 9_000 },
            { kind: "cut-from-next", worker: 0, atMs, durationMs: cutMs },
            { kind: "cut-from-next", worker: 1, atMs, durationMs: 9_000 },
            { kind: "cut-from-next", worker: 2, atMs, durationMs: 9_000 },
        ]),
});

/** Data centres are evacuated, sometimes several at once, while owners and workers are lost. */
const evacuations: fc.Arbitrary<OwnerSchedule> = fc.record({
    seed: fc.nat(1_000_000),
    faultRate: fc.constantFrom(0.000_5, 0.005, 0.03),
    disruptions: fc
        .tuple(
            fc.array(
                fc.record({
                    kind: fc.constant("evacuate" as const),
                    worker: fc.nat(2),
                    atMs: tens(500, 24_000),
                    durationMs: tens(200, 20_000),
                }),
                { minLength: 1, maxLength: 4 },
            ),
            fc.array(
                fc.record({
                    kind: fc.constantFrom("cut", "restart", "kill", "kill", "stop", "overlap"),
                    worker: fc.nat(2),
                    atMs: tens(500, 24_000),
                    durationMs: tens(200, 5_000),
                }),
                { maxLength: 6 },
            ),
        )
        .map(lists => lists.flat()),
});

// Guards against a task that runs twice or never again when its run is moved out of a data centre, and against starts there
// by an owner that has not learned of the request from the one before, which was killed.
t.test("data centres are evacuated while owners are killed and workers restart", async t => {
    const result = await check(ScheduleCount, {}, Number(process.env["FAULT_SEED"] ?? Seed), evacuations);
    t.notOk(result.failed, fc.defaultReportMessage(result) ?? "");
});

// Guards against a checker that detects nothing.
t.test("the checker detects an owner that does not read the requests to evacuate", async t => {
    const result = await check(DefectScheduleCount, { ignoresEvacuations: true }, Seed, evacuations);
    t.ok(result.failed);
});

const previousOwnerDefects = [
    { defect: "extendsWithoutProof", disrupted: lateContact },
    { defect: "seesLaterJobs", disrupted: partialOverlaps },
] as const;

// Guards against a checker that detects nothing.
for (const { defect, disrupted } of previousOwnerDefects) {
    t.test(`the checker detects a previous owner that ${defect}`, async t => {
        const result = await check(DefectScheduleCount, { [defect]: true }, Seed, disrupted);
        t.ok(result.failed);
    });
}

// Guards against a checker that detects nothing.
t.test("the checker detects a roster by which leases end too early", async t => {
    const result = await check(DefectScheduleCount, { endsLeases: true });
    t.ok(result.failed);
});
