import { Resources } from "@samphireward/core/resources";
import t from "tap";
import { OrderKind } from "../src/order-kind.js";
import type { StepSpec } from "../src/step-spec.js";
import { queueRule } from "./fixtures/queue-rule.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const MinRunTimeMs = 5_000;
const StarvedMs = 3_500;
const TickMs = 20;
const Ticks = 8;

const lasting = (count: number): Partial<StepSpec> => ({
    lasting: true,
    count,
    resources: Resources.create({ processors: 4, memoryMb: 100 }),
});

/** A worker that is full of lasting tasks of as many jobs, which have run long enough to make way for others. */
const fullWorker = (): SchedulerHarness => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    for (let job = 0; job < 4; job++) {
        harness.submit(lasting(1));
    }
    const runs = harness.planAndStartAll();
    harness.clock.advance(MinRunTimeMs);
    const listed = runs.map(run => ({ ...SchedulerHarness.listedRun(run), progressPercent: 100 }));
    harness.reportListing(worker, listed, []);
    return harness;
};

/** Plans repeatedly before any stop is confirmed, and returns the names of the stopped tasks. */
const stoppedTasks = (harness: SchedulerHarness): Set<string> => {
    const stopped = new Set<string>();
    for (let tick = 0; tick < Ticks; tick++) {
        for (const order of harness.planOrders()) {
            if (order.kind === OrderKind.Stop) {
                stopped.add(order.task);
            }
        }
        harness.clock.advance(TickMs);
    }
    return stopped;
};

// Guards against plans that each stop further lasting tasks on one worker, because what was freed there counted for a
// single one of the waiting tasks.
t.test("no more lasting tasks are preempted than wait", t => {
    const harness = fullWorker();
    harness.submit(lasting(2));
    harness.planOrders();
    harness.clock.advance(StarvedMs);
    const stopped = stoppedTasks(harness);
    t.ok(stopped.size >= 1, "one makes way");
    t.ok(stopped.size <= 2, `${stopped.size} make way for 2`);
    t.end();
});

// Guards against lasting tasks of an urgent queue that are stopped for those of a less urgent one.
t.test("a lasting task does not make way for one of a queue with a lower priority", t => {
    const harness = fullWorker();
    const low = { ...queueRule("low"), priority: 1 };
    harness.scheduler.setQueues([queueRule("queue"), low]);
    harness.scheduler.addJob({ ...harness.makeJob(lasting(1)), queue: low.name });
    harness.planOrders();
    harness.clock.advance(StarvedMs);
    t.equal(stoppedTasks(harness).size, 0);
    t.end();
});

// Guards against an urgent lasting task that waits while less urgent ones run.
t.test("a lasting task makes way for one of a queue with a higher priority", t => {
    const harness = fullWorker();
    const low = { ...queueRule("queue"), priority: 1 };
    harness.scheduler.setQueues([low, queueRule("urgent")]);
    harness.scheduler.addJob({ ...harness.makeJob(lasting(1)), queue: "urgent" });
    harness.planOrders();
    harness.clock.advance(StarvedMs);
    t.equal(stoppedTasks(harness).size, 1);
    t.end();
});

// Guards against lasting tasks that never take the place of others, because tasks that no worker can run have waited longer.
t.test("tasks without a permitted worker do not keep others from being swapped in", t => {
    const harness = fullWorker();
    harness.submit({ ...lasting(3), requiredLabel: "no-worker-has-this" });
    harness.planOrders();
    harness.clock.advance(StarvedMs);
    harness.submit(lasting(1));
    harness.planOrders();
    harness.clock.advance(StarvedMs);
    t.equal(stoppedTasks(harness).size, 1);
    t.end();
});

/** A fleet of full workers, with as many lasting tasks that wait. */
const fullFleet = (workerCount: number, waiting: Partial<StepSpec>): SchedulerHarness => {
    const harness = SchedulerHarness.create();
    const workers = Array.from({ length: workerCount }, (_, index) => harness.addWorker(`w${index}`));
    harness.submit(lasting(4 * workerCount));
    harness.planAndStartAll();
    harness.clock.advance(MinRunTimeMs);
    for (const worker of workers) {
        const listed = [...worker.runs.values()].map(SchedulerHarness.listedRun);
        harness.reportListing(worker, listed, []);
    }
    harness.submit(waiting);
    harness.planOrders();
    harness.clock.advance(StarvedMs);
    return harness;
};

const countStops = (harness: SchedulerHarness): number =>
    harness.planOrders().filter(({ kind }) => kind === OrderKind.Stop).length;

// Guards against lasting tasks that wait for seconds after each change of owner: the new owner counted the runs that it
// found from that time on, so that none of them had run for long enough to make way.
t.test("lasting tasks that a new owner found running make way for others", t => {
    const harness = SchedulerHarness.create(2);
    const { scheduler } = harness;
    const running = harness.makeJob(lasting(4));
    harness.inherit(running);
    harness.inherit(harness.makeJob(lasting(1)));
    scheduler.expectInheritedWorkers(["w1/1"]);
    const worker = harness.addUnreadWorker("w1");
    const run = { number: 1, checkpoint: "", progressPercent: 100, gauge: 0 };
    const listed = [0, 1, 2, 3].map(index => ({ ...run, task: `${running.id}.0.0.${index}` }));
    harness.reportListing(worker, listed, []);
    harness.planOrders();
    harness.clock.advance(StarvedMs);
    t.equal(stoppedTasks(harness).size, 1);
    t.end();
});

// Guards against lasting tasks that wait for many seconds in a large fleet, whose owner plans a few times a second: a plan
// preempted as few tasks for hundreds of waiting ones as in a small fleet.
t.test("load pattern: many lasting tasks wait in a large and full fleet", t => {
    for (const [workerCount, swaps] of [
        [20, 2],
        [45, 2],
        [180, 8],
    ] as const) {
        const harness = fullFleet(workerCount, lasting(workerCount));
        t.equal(countStops(harness), swaps, `${workerCount} workers`);
    }
    t.end();
});
