import { Resources } from "@samphireward/core/resources";
import t from "tap";
import { EndKind } from "../src/end-kind.js";
import type { LastingWait } from "../src/lasting-wait.js";
import { LastingWaitReason } from "../src/lasting-wait-reason.js";
import type { Run } from "../src/run.js";
import { StartOutcome } from "../src/start-outcome.js";
import type { StepSpec } from "../src/step-spec.js";
import { SchedulerHarness } from "./scheduler-harness.js";

/** Longer than the time after which a wait is reported. */
const LongWaitMs = 2_500;
/** Longer than a lease with its margins. */
const LeaseOverMs = 7_000;

const resources = (processors: number): Resources => Resources.create({ processors, memoryMb: 100 });
const lasting: Partial<StepSpec> = { lasting: true, resources: resources(8) };
const serving = (image: string): Partial<StepSpec> => ({ ...lasting, image, tailTargetMs: 50 });

/** `api` beside `web` rules out the filler that can work beside `web`. */
const effects = { headrooms: {}, pairs: { web: [["mix", 0, 1]], api: [["mix", 30, 1]] } } as const;

/** Plans a start that gets no response. */
const startUnanswered = (harness: SchedulerHarness): Run[] => {
    const runs = harness.planStarts();
    runs.forEach(run => harness.scheduler.responses.recordStart(run, StartOutcome.Unknown));
    return runs;
};

/** Lets the time pass after which waits are reported, with a check at its begin, and returns the reported waits. */
const waitLong = (harness: SchedulerHarness): readonly LastingWait[] => {
    harness.scheduler.lastingWaits.take();
    harness.clock.advance(LongWaitMs);
    return harness.scheduler.lastingWaits.take();
};

interface ReasonCase {
    readonly reason: LastingWaitReason;
    /** Brings a cell into a state in which a lasting task waits, and returns the reported waits. */
    readonly run: (harness: SchedulerHarness) => readonly LastingWait[];
    readonly evidence: Partial<LastingWait>;
}

const cases: readonly ReasonCase[] = [
    {
        reason: LastingWaitReason.NoRule,
        run: harness => {
            harness.addWorker("w1");
            harness.scheduler.setQueues([]);
            harness.submit(lasting);
            return waitLong(harness);
        },
        evidence: { reachable: 0 },
    },
    {
        reason: LastingWaitReason.NoAnswer,
        run: harness => {
            harness.addWorker("w1");
            harness.submit(lasting);
            startUnanswered(harness);
            return waitLong(harness);
        },
        evidence: { reachable: 1, suitable: 0, worker: "w1", unread: undefined },
    },
    {
        reason: LastingWaitReason.Unread,
        run: harness => {
            harness.inherit(harness.makeJob(lasting));
            harness.scheduler.expectInheritedWorkers(["w9/1"]);
            harness.addWorker("w1");
            harness.planStarts();
            return waitLong(harness);
        },
        evidence: { withCapacity: 1, maxFree: 16, unread: 1 },
    },
    {
        reason: LastingWaitReason.Delayed,
        run: harness => {
            harness.addWorker("w1");
            harness.submit(lasting);
            startUnanswered(harness);
            const restarted = harness.addUnreadWorker("w1", { startedAtMs: 2 });
            harness.reportListing(restarted, [], []);
            return waitLong(harness);
        },
        evidence: { delayMs: 9_500, withCapacity: 1, maxFree: 8 },
    },
    {
        reason: LastingWaitReason.Unreachable,
        run: harness => {
            harness.scheduler.noteUnreachable(harness.addWorker("w1"));
            harness.submit(lasting);
            harness.planStarts();
            return waitLong(harness);
        },
        evidence: { reachable: 0, free: 0 },
    },
    {
        reason: LastingWaitReason.Restricted,
        run: harness => {
            harness.addWorker("w1");
            harness.submit({ ...lasting, requiredLabel: "other" });
            harness.planStarts();
            return waitLong(harness);
        },
        evidence: { reachable: 1, suitable: 0, free: 0 },
    },
    {
        reason: LastingWaitReason.NoCapacity,
        run: harness => {
            harness.addWorker("w1");
            harness.addWorker("w2");
            harness.submit({ resources: resources(9.5), count: 2 });
            harness.planAndStartAll();
            harness.submit(lasting);
            harness.planStarts();
            return waitLong(harness);
        },
        evidence: { suitable: 2, withCapacity: 0, processors: 8, maxFree: 6.5, free: 13 },
    },
    {
        reason: LastingWaitReason.NoPermit,
        run: harness => {
            harness.requirePermits();
            harness.addWorker("w1");
            harness.submit(lasting);
            harness.planStarts();
            return waitLong(harness);
        },
        evidence: { withCapacity: 1, maxFree: 16 },
    },
    {
        reason: LastingWaitReason.PoorFit,
        run: harness => {
            harness.scheduler.effects.restore(effects);
            harness.addWorker("w1");
            harness.submit(serving("web"));
            harness.planAndStartAll();
            harness.submit(serving("api"));
            harness.scheduler.lastingWaits.take();
            harness.clock.advance(LongWaitMs);
            harness.planStarts();
            return harness.scheduler.lastingWaits.take();
        },
        evidence: { withCapacity: 1, maxFree: 8 },
    },
    {
        reason: LastingWaitReason.KeptForSameImages,
        run: harness => {
            harness.scheduler.effects.restore(effects);
            harness.addWorker("w1");
            harness.submit({ ...serving("web"), count: 2 });
            const [first] = harness.planAndStartAll();
            harness.submit(serving("api"));
            harness.planStarts();
            harness.clock.advance(LongWaitMs);
            if (first !== undefined) {
                harness.reportEnd(first, EndKind.Stopped);
            }
            return harness.scheduler.lastingWaits.take();
        },
        evidence: { withCapacity: 1, maxFree: 8 },
    },
    {
        reason: LastingWaitReason.Trial,
        run: harness => {
            const lost = harness.addWorker("w1");
            harness.submit(lasting);
            harness.planAndStartAll();
            harness.scheduler.noteUnreachable(lost);
            harness.clock.advance(LeaseOverMs);
            harness.addWorker("w2");
            harness.scheduler.plan();
            harness.clock.advance(LongWaitMs);
            return harness.scheduler.lastingWaits.take();
        },
        evidence: { withCapacity: 1, maxFree: 16, worker: undefined },
    },
    {
        reason: LastingWaitReason.Gang,
        run: harness => {
            harness.addWorker("w1");
            harness.submit({ ...lasting, resources: resources(10), count: 2, gang: true });
            harness.planStarts();
            return waitLong(harness).slice(0, 1);
        },
        evidence: { withCapacity: 1 },
    },
    {
        reason: LastingWaitReason.NextPlan,
        run: harness => {
            harness.addWorker("w1");
            harness.submit(lasting);
            return waitLong(harness);
        },
        evidence: { withCapacity: 1, maxFree: 16, free: 16 },
    },
];

// Guards against a lasting task that is passed over by each plan, without a line from which an engineer learns why.
t.test("each reason for a wait is told apart, with the capacity that the owner believes to be free", t => {
    for (const { reason, run, evidence } of cases) {
        const waits = run(SchedulerHarness.create());
        t.equal(waits.length, 1, reason);
        t.match(waits[0], { reason, waitedMs: LongWaitMs, ...evidence }, reason);
    }
    t.same(cases.map(each => each.reason).sort(), Object.values(LastingWaitReason).sort(), "all reasons");
    t.end();
});

// Guards against a task that is reported as waiting for a plan although the planner passes it over for good.
t.test("a task that waits for the next plan only is started by it", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w1");
    harness.submit(lasting);
    t.match(waitLong(harness), [{ reason: LastingWaitReason.NextPlan }]);
    t.equal(harness.planStarts().length, 1);
    t.end();
});

// Guards against waits that are counted from an unanswered or refused start, which the task has waited through.
t.test("a wait begins with the end of the last confirmed run and lasts until the next one", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    harness.submit(lasting);
    const [first] = harness.planAndStartAll();
    harness.clock.advance(10_000);
    t.same(harness.scheduler.lastingWaits.take(), [], "it runs");
    if (first !== undefined) {
        harness.reportEnd(first, EndKind.Stopped);
    }
    harness.clock.advance(1_500);
    for (const run of harness.planStarts()) {
        harness.scheduler.responses.recordStart(run, StartOutcome.Refused);
    }
    harness.clock.advance(1_000);
    t.match(harness.scheduler.lastingWaits.take(), [{ waitedMs: 2_500 }]);
    const [unanswered] = startUnanswered(harness);
    harness.clock.advance(2_500);
    t.match(harness.scheduler.lastingWaits.take(), [{ reason: LastingWaitReason.NoAnswer, waitedMs: 5_000 }]);
    if (unanswered !== undefined) {
        harness.reportEnd(unanswered, EndKind.Stopped);
    }
    harness.clock.advance(2_500);
    t.match(harness.scheduler.lastingWaits.take(), [{ waitedMs: 7_500 }], "it was not confirmed");
    const [run] = startUnanswered(harness);
    t.ok(run);
    if (run !== undefined) {
        harness.reportListing(worker, [SchedulerHarness.listedRun(run)], []);
        harness.clock.advance(2_500);
        t.same(harness.scheduler.lastingWaits.take(), [], "it runs again");
        harness.reportEnd(run, EndKind.Stopped);
    }
    harness.clock.advance(2_100);
    t.match(harness.scheduler.lastingWaits.take(), [{ waitedMs: 2_100 }], "the next wait");
    t.end();
});

// Guards against a log that consists of the waits of a crowded cell, and against waits that hide the longest one.
t.test("few waits are reported at a time, the longest first, and each of them only now and then", t => {
    const harness = SchedulerHarness.create();
    harness.submit({ count: 3 });
    harness.scheduler.lastingWaits.take();
    harness.clock.advance(1_000);
    const late = harness.submit({ ...lasting, count: 3 });
    harness.scheduler.lastingWaits.take();
    harness.clock.advance(1_000);
    const later = harness.submit({ ...lasting, count: 4 });
    harness.scheduler.lastingWaits.take();
    const reports = Array.from({ length: 5 }, () => {
        harness.clock.advance(1_000);
        return harness.scheduler.lastingWaits.take().map(({ task }) => task.split(".")[0]);
    });
    const firstThree = [late.id, late.id, late.id];
    t.strictSame(reports, [
        [],
        firstThree,
        [later.id, later.id, later.id, later.id],
        firstThree,
        [later.id, later.id, later.id, later.id],
    ]);
    harness.submit({ ...lasting, count: 20 });
    harness.scheduler.lastingWaits.take();
    harness.clock.advance(10_000);
    t.strictSame(
        harness.scheduler.lastingWaits.take().map(({ task }) => task.split(".")[0]),
        [...firstThree, later.id, later.id],
    );
    t.end();
});
