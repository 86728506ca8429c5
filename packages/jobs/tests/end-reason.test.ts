import t from "tap";
import { EndKind } from "../src/end-kind.js";
import { EndReason } from "../src/end-reason.js";
import { SchedulerHarness } from "./scheduler-harness.js";

// Guards against a task that is started again without a trace of why its run was given up: each way in which
// the owner concludes an end has its own reason.
t.test("each applied end has the reason from which the owner concluded it", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    harness.submit({});
    harness.planAndStartAll().forEach(run => harness.reportEnd(run, EndKind.Done));
    harness.submit({});
    harness.planAndStartAll();
    harness.clock.advance(10);
    harness.reportListing(worker, [], []);
    harness.planAndStartAll();
    harness.scheduler.noteLeaseExtension(worker);
    harness.scheduler.noteUnreachable(worker);
    harness.clock.advance(SchedulerHarness.inheritedLeaseDurationMs);
    harness.planOrders();
    harness.reportListing(worker, [], []);
    harness.planAndStartAll();
    harness.addWorker("w1", { startedAtMs: 2 });
    t.strictSame(
        harness.appliedEnds.map(({ number, kind, reason, restartedAtMs }) => [
            number,
            kind,
            reason,
            restartedAtMs,
        ]),
        [
            [1, EndKind.Done, EndReason.Listed, undefined],
            [1, EndKind.Lapsed, EndReason.Missing, undefined],
            [2, EndKind.Lapsed, EndReason.LeaseOver, undefined],
            [3, EndKind.Lapsed, EndReason.Restarted, 2],
        ],
    );
    t.end();
});

// Guards against a lease that ran out on the worker's own clock being taken for one that the owner gave up.
t.test("an end that the worker lists as lapsed counts as listed", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w1");
    harness.submit({});
    harness.planAndStartAll().forEach(run => harness.reportEnd(run, EndKind.Lapsed));
    t.strictSame(
        harness.appliedEnds.map(({ kind, reason }) => [kind, reason]),
        [[EndKind.Lapsed, EndReason.Listed]],
    );
    t.end();
});
