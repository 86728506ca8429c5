import * as fc from "fast-check";
import t from "tap";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import type { LeaseDisruption } from "./lease-disruption.js";
import { LeaseModel } from "./lease-model.js";
import type { LeaseSchedule } from "./lease-schedule.js";

const ScheduleCount = Number(process.env["FAULT_SCHEDULES"] ?? 150);
/** Few schedules show the defect, as the tasks of a lost worker start again one at a time. */
const DefectScheduleCount = 1_000;
const Seed = 19;
/** A seed whose schedules show the defect: about one in four hundred does. */
const DefectSeed = 20;
const TimeoutMs = 600_000;

t.setTimeout(TimeoutMs);

const kinds: readonly LeaseDisruption["kind"][] = [
    "cut",
    "cut",
    "suspend",
    "suspend-with-clock",
    "restart",
    "stale-registrations",
];

const disruption: fc.Arbitrary<LeaseDisruption> = fc.record({
    kind: fc.constantFrom(...kinds),
    worker: fc.nat(2),
    atMs: fc.integer({ min: 100, max: 2_200 }).map(tens => tens * 10),
    // A restart takes longer than the pause between two heartbeats.
    durationMs: fc.integer({ min: 20, max: 900 }).map(tens => tens * 10),
});

const schedules: fc.Arbitrary<LeaseSchedule> = fc.record({
    seed: fc.nat(1_000_000),
    faultRate: fc.constantFrom(0.001, 0.01, 0.05),
    disruptions: fc.array(disruption, { maxLength: 6 }),
});

const check = (
    limits: typeof cellLimits,
    numRuns: number,
    { seed = Seed, endOnFailure = false } = {},
): Promise<fc.RunDetails<[LeaseSchedule]>> =>
    fc.check(
        fc.asyncProperty(schedules, async schedule => {
            const violations = await LeaseModel.create(schedule, limits).run();
            return violations.length === 0 || Promise.reject(new Error(violations.join("; ")));
        }) as fc.IAsyncProperty<[LeaseSchedule]>,
        { seed, numRuns, endOnFailure },
    );

// Guards against a task that starts again while its worker may hold a lease on its run, or has ended it under one.
t.test("no task runs twice, whatever is lost, late, suspended or restarted", async t => {
    const result = await check(cellLimits, ScheduleCount);
    t.notOk(result.failed, fc.defaultReportMessage(result) ?? "");
});

// Guards against a checker that detects nothing.
t.test("the checker detects an owner that counts leases as too short", async t => {
    const limits = { ...cellLimits, leaseMs: cellLimits.leaseMs - 1_000 };
    const result = await check(limits, DefectScheduleCount, { seed: DefectSeed, endOnFailure: true });
    t.ok(result.failed);
});
