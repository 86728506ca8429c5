import t from "tap";
import type { Run } from "../src/run.js";
import type { StepSpec } from "../src/step-spec.js";
import type { WorkerIncarnation } from "../src/worker-incarnation.js";
import { OrderKind } from "../src/order-kind.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const TargetMs = 20;
const serving: Partial<StepSpec> = { lasting: true, image: "web", tailTargetMs: TargetMs };
const filler = (image: string, count = 1): Partial<StepSpec> => ({
    image,
    count,
    filler: true,
    checkpoints: true,
    estimatedMs: 20_000,
});

/** Lists every 600 ms: serving tasks with the given tail latency, fillers with half a processor in use. */
const listFor = (
    harness: SchedulerHarness,
    worker: WorkerIncarnation,
    rounds: number,
    tailOf: (run: Run) => number,
): void => {
    for (let round = 0; round < rounds; round++) {
        harness.clock.advance(600);
        const rows = [...worker.runs.values()].map(run => ({
            ...SchedulerHarness.listedRun(run),
            progressPercent: run.task.step.spec.lasting
                ? 100
                : (harness.clock.nowMs() - run.startedAtMs) / 400,
            gauge: run.task.step.spec.tailTargetMs > 0 ? tailOf(run) : 500,
        }));
        harness.reportListing(worker, rows, []);
        for (const order of harness.planOrders()) {
            if (order.kind === OrderKind.Pace) {
                harness.scheduler.responses.recordPace(order.run, order.percent);
            }
        }
    }
};

const start = (
    harness: SchedulerHarness,
    worker: WorkerIncarnation,
    ...steps: Partial<StepSpec>[]
): Run[] => {
    steps.forEach(step => harness.submit(step));
    const runs = harness.planAndStartAll();
    harness.reportListing(worker, [...worker.runs.values()].map(SchedulerHarness.listedRun), []);
    return runs;
};

// Guards against a serving task that stays over its target because of the fillers beside it.
t.test("load pattern: a filler doubles a serving task's tail latency", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    start(harness, worker, serving, filler("heavy"));
    listFor(harness, worker, 8, () => TargetMs * 2);
    t.ok(worker.pacePercentFor("heavy") <= 10, `pace ${worker.pacePercentFor("heavy")}`);
    t.end();
});

// Guards against fillers that stay slow after the disturbance has ended.
t.test("load pattern: a disturbance ends", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    start(harness, worker, serving, filler("light"));
    listFor(harness, worker, 3, () => TargetMs * 1.5);
    const low = worker.pacePercentFor("light");
    listFor(harness, worker, 60, () => TargetMs * 0.3);
    t.ok(low < 100);
    t.ok(worker.pacePercentFor("light") > low, `pace ${worker.pacePercentFor("light")} after ${low}`);
    t.end();
});

// Guards against fillers that stay paused after all serving tasks have left the worker.
t.test("load pattern: the serving tasks of a worker have left", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    const [first] = start(harness, worker, serving, filler("heavy"));
    listFor(harness, worker, 6, () => TargetMs * 2);
    t.ok(first);
    if (first !== undefined) {
        harness.scheduler.cancelJob(first.task.step.occurrence.job.spec.id);
        harness.reportEnd(first, "stopped");
    }
    listFor(harness, worker, 1, () => 0);
    t.equal(worker.pacePercentFor("heavy"), 100);
    t.end();
});

// Guards against fillers that disturb the same serving image on one worker after another.
t.test("load pattern: one image of fillers disturbs one image of serving tasks", t => {
    const harness = SchedulerHarness.create();
    const web = harness.addWorker("web");
    start(harness, web, { ...serving, count: 4 });
    const api = harness.addWorker("api");
    harness.submit({ ...serving, image: "api", count: 4, maxPerWorker: 4 });
    harness.planAndStartAll();
    harness.reportListing(api, [...api.runs.values()].map(SchedulerHarness.listedRun), []);
    t.equal(api.runs.size, 4, "serving tasks are grouped by image");
    harness.submit(filler("heavy", 2));
    const fillers = harness.planAndStartAll();
    for (const worker of [web, api]) {
        harness.reportListing(worker, [...worker.runs.values()].map(SchedulerHarness.listedRun), []);
    }
    t.equal(fillers.length, 2);
    for (let round = 0; round < 12; round++) {
        listFor(harness, web, 1, () =>
            fillers.some(run => run.worker === web) ? TargetMs * 1.6 : TargetMs * 0.35,
        );
        listFor(harness, api, 1, () => TargetMs * 0.35);
    }
    fillers.forEach(run => harness.reportEnd(run, "done"));
    harness.submit(filler("heavy", 2));
    const later = harness.planAndStartAll();
    t.ok(later.length > 0);
    t.ok(
        later.every(run => run.worker === api),
        "later fillers of the image are kept away from the tasks that they disturb",
    );
    t.end();
});
