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
    rig: SchedulerHarness,
    worker: WorkerIncarnation,
    rounds: number,
    tailOf: (run: Run) => number,
): void => {
    for (let round = 0; round < rounds; round++) {
        rig.clock.advance(600);
        const rows = [...worker.runs.values()].map(run => ({
            ...SchedulerHarness.listedRun(run),
            progressPercent: run.task.step.spec.lasting ? 100 : (rig.clock.nowMs() - run.startedAtMs) / 400,
            gauge: run.task.step.spec.tailTargetMs > 0 ? tailOf(run) : 500,
        }));
        rig.reportListing(worker, rows, []);
        for (const order of rig.planOrders()) {
            if (order.kind === OrderKind.Pace) {
                rig.scheduler.responses.recordPace(order.run, order.percent);
            }
        }
    }
};

const start = (rig: SchedulerHarness, worker: WorkerIncarnation, ...steps: Partial<StepSpec>[]): Run[] => {
    steps.forEach(step => rig.submit(step));
    const runs = rig.planAndStartAll();
    rig.reportListing(worker, [...worker.runs.values()].map(SchedulerHarness.listedRun), []);
    return runs;
};

// Guards against a serving task that stays over its target because of the fillers beside it.
t.test("load pattern: a filler doubles a serving task's tail latency", t => {
    const rig = SchedulerHarness.create();
    const worker = rig.addWorker("w1");
    start(rig, worker, serving, filler("heavy"));
    listFor(rig, worker, 8, () => TargetMs * 2);
    t.ok(worker.pacePercentFor("heavy") <= 10, `pace ${worker.pacePercentFor("heavy")}`);
    t.end();
});

// Guards against fillers that stay slow after the disturbance has ended.
t.test("load pattern: a disturbance ends", t => {
    const rig = SchedulerHarness.create();
    const worker = rig.addWorker("w1");
    start(rig, worker, serving, filler("light"));
    listFor(rig, worker, 3, () => TargetMs * 1.5);
    const low = worker.pacePercentFor("light");
    listFor(rig, worker, 60, () => TargetMs * 0.3);
    t.ok(low < 100);
    t.ok(worker.pacePercentFor("light") > low, `pace ${worker.pacePercentFor("light")} after ${low}`);
    t.end();
});

// Guards against fillers that stay paused after all serving tasks have left the worker.
t.test("load pattern: the serving tasks of a worker have left", t => {
    const rig = SchedulerHarness.create();
    const worker = rig.addWorker("w1");
    const [first] = start(rig, worker, serving, filler("heavy"));
    listFor(rig, worker, 6, () => TargetMs * 2);
    t.ok(first);
    if (first !== undefined) {
        rig.scheduler.cancelJob(first.task.step.occurrence.job.spec.id);
        rig.reportEnd(first, "stopped");
    }
    listFor(rig, worker, 1, () => 0);
    t.equal(worker.pacePercentFor("heavy"), 100);
    t.end();
});

// Guards against fillers that disturb the same serving image on one worker after another.
t.test("load pattern: one image of fillers disturbs one image of serving tasks", t => {
    const rig = SchedulerHarness.create();
    const web = rig.addWorker("web");
    start(rig, web, { ...serving, count: 4 });
    const api = rig.addWorker("api");
    rig.submit({ ...serving, image: "api", count: 4, maxPerWorker: 4 });
    rig.planAndStartAll();
    rig.reportListing(api, [...api.runs.values()].map(SchedulerHarness.listedRun), []);
    t.equal(api.runs.size, 4, "serving tasks are grouped by image");
    rig.submit(filler("heavy", 2));
    const fillers = rig.planAndStartAll();
    for (const worker of [web, api]) {
        rig.reportListing(worker, [...worker.runs.values()].map(SchedulerHarness.listedRun), []);
    }
    t.equal(fillers.length, 2);
    for (let round = 0; round < 12; round++) {
        listFor(rig, web, 1, () =>
            fillers.some(run => run.worker === web) ? TargetMs * 1.6 : TargetMs * 0.35,
        );
        listFor(rig, api, 1, () => TargetMs * 0.35);
    }
    fillers.forEach(run => rig.reportEnd(run, "done"));
    rig.submit(filler("heavy", 2));
    const later = rig.planAndStartAll();
    t.ok(later.length > 0);
    t.ok(
        later.every(run => run.worker === api),
        "later fillers of the image are kept away from the tasks that they disturb",
    );
    t.end();
});
