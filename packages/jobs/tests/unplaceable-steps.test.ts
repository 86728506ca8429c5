import { Resources } from "@samphireward/core/resources";
import t from "tap";
import { OrderKind } from "../src/order-kind.js";
import type { StepSpec } from "../src/step-spec.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const processors = (count: number, accelerators = 0): Resources =>
    Resources.create({ processors: count, memoryMb: 100, accelerators });

/** Steps that find no worker for a reason that says nothing about a step of two processors. */
const hopelessSteps: readonly { readonly name: string; readonly step: Partial<StepSpec> }[] = [
    { name: "an accelerator that no worker has", step: { resources: processors(1, 1) } },
    { name: "a label that no worker has", step: { requiredLabel: "none" } },
    { name: "more memory than any worker has", step: { resources: Resources.create({ memoryMb: 1e9 }) } },
    { name: "a gang that fits nowhere", step: { resources: processors(9), count: 2, gang: true } },
];

// Guards against one job that can never run and keeps all later jobs of the service from starting beside free workers.
for (const { name, step } of hopelessSteps) {
    t.test(`a step that asks for ${name} keeps no other step from starting`, t => {
        const harness = SchedulerHarness.create();
        harness.addWorker("w1");
        harness.submit(step);
        harness.submit({ resources: processors(2) });
        harness.clock.advance(1);
        t.equal(harness.planAndStartAll().length, 1);
        t.end();
    });
}

// Guards against the same wait behind a step that could run, but whose accelerator is in use.
t.test("a step that waits for an accelerator in use keeps no other step from starting", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w1", {
        capacity: Resources.create({ processors: 16, memoryMb: 64_000, accelerators: 1 }),
    });
    harness.submit({ resources: processors(1, 1), count: 2 });
    harness.submit({ resources: processors(1) });
    t.equal(harness.planAndStartAll().length, 2);
    harness.submit({ resources: processors(2) });
    t.equal(harness.planAndStartAll().length, 1);
    t.end();
});

// Guards against a serving step without a compatible worker that keeps steps from starting which fit beside any image.
t.test("a serving step that waits for compatible images keeps no other step from starting", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    worker.sameImagesOnlyUntilMs = Infinity;
    harness.scheduler.effects.compatibilityLoss = () => 1;
    harness.submit({ tailTargetMs: 50, image: "a" });
    harness.submit({ resources: processors(2) });
    t.equal(harness.planAndStartAll().length, 1);
    t.end();
});

// Guards against a suspected task whose worker is kept for its trial, and whose step is skipped because a step of
// higher rank found no other worker.
t.test("a stored trial starts although a smaller step found no worker", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    const trialJob = harness.submit({ resources: processors(2) });
    const task = harness.scheduler.jobs.get(trialJob.id)?.findTask(0, 0, 0);
    if (task === undefined) {
        throw new Error("the task does not exist");
    }
    task.suspicion = 1;
    harness.scheduler.plan();
    t.equal(worker.trialTask, task);
    if (task.trial !== undefined) {
        task.trial.isStored = true;
    }
    harness.submit({ resources: processors(1), estimatedMs: 100 });
    const runs = harness.planStarts();
    t.same(
        runs.map(run => run.task.name),
        [task.name],
    );
    t.end();
});

// Guards against tasks that wait although lasting ones could make way, because tasks that no worker can ever run take
// all of the places among those for which one plan preempts.
t.test("load pattern: a large step that can never run, and short tasks on a full fleet", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    harness.submit({ lasting: true, resources: processors(4), count: 4 });
    const runs = harness.planAndStartAll();
    harness.clock.advance(10_000);
    harness.reportListing(
        worker,
        runs.map(run => ({ ...SchedulerHarness.listedRun(run), progressPercent: 100 })),
        [],
    );
    harness.submit({ resources: processors(1, 1), count: 100, estimatedMs: 100 });
    harness.submit({ resources: processors(1) });
    harness.planOrders();
    harness.clock.advance(200);
    const stops = harness.planOrders().filter(order => order.kind === OrderKind.Stop);
    t.equal(stops.length, 1);
    t.end();
});

// Guards against a step whose other tasks wait because the first one still has a run that is being stopped on the only
// worker with room, and against later steps that wait with it.
t.test("a task that cannot run beside its earlier run keeps no other task from starting", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    const job = harness.submit({ count: 2 });
    const task = harness.scheduler.jobs.get(job.id)?.findTask(0, 0, 0);
    worker.holds = name => name === task?.name;
    harness.submit({ resources: processors(2) });
    t.equal(harness.planAndStartAll().length, 2);
    t.end();
});
