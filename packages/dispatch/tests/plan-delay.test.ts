import { mock } from "node:test";
import { ManualClock } from "@samphireward/core/manual-clock";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import { queueRule } from "@samphireward/jobs/fixtures/queue-rule";
import t from "tap";
import { CellOwner } from "../src/cell-owner.js";
import { CommitLog } from "../src/commit-log.js";
import { Metrics } from "../src/metrics.js";
import { PlanDelay } from "../src/plan-delay.js";
import { certainOwnership } from "./certain-ownership.js";
import { ManualStore } from "./manual-store.js";
import { NoPermits } from "./no-permits.js";
import { NullLog } from "./null-log.js";

// Guards against plans that take the whole thread, and against a delay that grows with the duration without limit.
t.test("the delay of the next plan is twice the duration of the last one, within limits", t => {
    const delay = PlanDelay.create();
    t.equal(delay.from(0), 6, "before the first plan");
    for (const [tookMs, expectedMs] of [
        [0, 6],
        [2, 6],
        [3.5, 7],
        [20, 40],
        [500, 60],
        [1, 6],
    ] as const) {
        delay.record(tookMs, 1_000);
        t.equal(delay.from(1_000), expectedMs, `after a plan of ${tookMs} ms`);
    }
    t.end();
});

// Guards against urgent tasks that wait for the delay after a long plan although that plan ended long before they came.
t.test("the time since the last plan counts as delay", t => {
    const delay = PlanDelay.create();
    delay.record(25, 1_000);
    for (const [changedAfterMs, expectedMs] of [
        [0, 50],
        [20, 30],
        [45, 6],
        [500, 6],
    ] as const) {
        t.equal(delay.from(1_000 + changedAfterMs), expectedMs, `${changedAfterMs} ms after the plan`);
    }
    t.end();
});

// Guards against an owner whose long plans follow each other at once and leave no time for heartbeats and responses.
t.test("load pattern: plans of an owner take long", async t => {
    mock.timers.enable({ apis: ["setTimeout"] });
    t.teardown(() => mock.timers.reset());
    const store = ManualStore.create();
    const clock = ManualClock.create(1_000);
    const { signal } = new AbortController();
    const owner = CellOwner.create({
        cell: 0,
        epoch: 1,
        store,
        commits: CommitLog.create(store, 0, { epoch: 1, sequence: 0 }, 1, signal),
        createWorkerClient: () => {
            throw new Error("expected no worker");
        },
        permits: NoPermits.create(),
        proof: certainOwnership(clock),
        clock,
        log: NullLog.create(),
        metrics: Metrics.create(),
        cellCount: () => 1,
        limits: cellLimits,
        onLost: () => undefined,
    });
    await owner.start(
        () => [],
        () => Promise.resolve([]),
    );
    let plans = 0;
    let planDurationMs = 0;
    owner.scheduler.plan = () => {
        plans++;
        clock.advance(planDurationMs);
        return [];
    };
    /** Makes a change, and returns the number of plans in the given time after it. */
    const plansWithin = (ms: number): number => {
        plans = 0;
        owner.setQueues([queueRule("q")]);
        mock.timers.tick(ms);
        return plans;
    };
    mock.timers.tick(6);
    planDurationMs = 20;
    t.equal(plansWithin(6), 1, "the usual delay after a short plan");
    t.equal(plansWithin(39), 0, "plans take at most a third of the time");
    t.equal(plansWithin(1), 1);
    planDurationMs = 500;
    t.equal(plansWithin(40), 1);
    planDurationMs = 1;
    t.equal(plansWithin(59), 0);
    t.equal(plansWithin(1), 1, "the delay has an upper bound");
    t.equal(plansWithin(6), 1, "and is the usual one again after a short plan");
    owner.halt();
    t.end();
});
