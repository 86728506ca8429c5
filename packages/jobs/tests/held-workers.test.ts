import { Resources } from "@samphireward/core/resources";
import t from "tap";
import type { StepSpec } from "../src/step-spec.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const OverdueMs = 2_000;
const TickMs = 50;

const processors = (count: number): Resources =>
    Resources.create({ processors: count, memoryMb: 100 * count });

const lasting = (requested: number, count = 1): Partial<StepSpec> => ({
    lasting: true,
    count,
    resources: processors(requested),
});

/** A worker on which a short task leaves some processors free. */
const addBusyWorker = (harness: SchedulerHarness, requested: number, estimatedMs: number): void => {
    harness.addWorker("w1");
    harness.submit({ estimatedMs, resources: processors(requested) });
    harness.planAndStartAll();
};

// Guards against a lasting task without a run beside enough free capacity: the worker was held again and again for a larger
// task, although a short task with a minute left had to end first.
t.test("a worker is not held for longer than its short tasks take to free it", t => {
    const harness = SchedulerHarness.create();
    addBusyWorker(harness, 10, 60_000);
    harness.submit(lasting(10));
    harness.planStarts();
    harness.clock.advance(OverdueMs);
    harness.planStarts();
    harness.submit(lasting(4));
    let waitedMs = 0;
    while (harness.planAndStartAll().length === 0 && waitedMs < 30_000) {
        harness.clock.advance(TickMs);
        waitedMs += TickMs;
    }
    t.ok(waitedMs < 6_000, `the smaller task has waited ${waitedMs} ms`);
    t.end();
});
