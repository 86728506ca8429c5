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

/** One listing each 600 ms: serving tasks have the tail, fillers use half a processor and progress by it. */
const listFor = (
    rig: SchedulerHarness,
    life: WorkerIncarnation,
    rounds: number,
    tailOf: (run: Run) => number,
): void => {
    for (let round = 0; round < rounds; round++) {
        rig.clock.advance(600);
        const rows = [...life.runs.values()].map(run => ({
            ...SchedulerHarness.listedRun(run),
            progressPercent: run.task.step.spec.lasting ? 100 : (rig.clock.nowMs() - run.startedAtMs) / 400,
            gauge: run.task.step.spec.tailTargetMs > 0 ? tailOf(run) : 500,
        }));
        rig.reportListing(life, rows, []);
        for (const order of rig.planOrders()) {
            if (order.kind === OrderKind.Pace) {
                rig.scheduler.responses.recordPace(order.run, order.percent);
            }
        }
    }
};

const start = (rig: SchedulerHarness, life: WorkerIncarnation, ...steps: Partial<StepSpec>[]): Run[] => {
    steps.forEach(step => rig.submit(step));
    const runs = rig.planAndStartAll();
    rig.reportListing(life, [...life.runs.values()].map(SchedulerHarness.listedRun), []);
    return runs;
};

// Guards against a serving task that stays over its target because of what fills the worker beside it.
t.test("load pattern: a filler doubles a serving task's tail", t => {
    const rig = SchedulerHarness.create();
    const life = rig.addWorker("w1");
    start(rig, life, serving, filler("heavy"));
    listFor(rig, life, 8, () => TargetMs * 2);
    t.ok(life.pacePercentFor("heavy") <= 10, `pace ${life.pacePercentFor("heavy")}`);
    t.end();
});

// Guards against fillers that stay slow for good after the disturbance is over.
t.test("load pattern: a disturbance ends", t => {
    const rig = SchedulerHarness.create();
    const life = rig.addWorker("w1");
    start(rig, life, serving, filler("light"));
    listFor(rig, life, 3, () => TargetMs * 1.5);
    const low = life.pacePercentFor("light");
    listFor(rig, life, 60, () => TargetMs * 0.3);
    t.ok(low < 100);
    t.ok(life.pacePercentFor("light") > low, `pace ${life.pacePercentFor("light")} after ${low}`);
    t.end();
});

// Guards against fillers that stand still beside no serving task at all.
t.test("load pattern: the serving tasks of a worker have left", t => {
    const rig = SchedulerHarness.create();
    const life = rig.addWorker("w1");
    const [first] = start(rig, life, serving, filler("heavy"));
    listFor(rig, life, 6, () => TargetMs * 2);
    t.ok(first);
    if (first !== undefined) {
        rig.scheduler.cancelJob(first.task.step.occurrence.job.spec.id);
        rig.reportEnd(first, "stopped");
    }
    listFor(rig, life, 1, () => 0);
    t.equal(life.pacePercentFor("heavy"), 100);
    t.end();
});

// Guards against a filler that goes on disturbing the same image on every worker that it comes to.
t.test("load pattern: one image of fillers disturbs one image of serving tasks", t => {
    const rig = SchedulerHarness.create();
    const web = rig.addWorker("web");
    start(rig, web, { ...serving, count: 4 });
    const api = rig.addWorker("api");
    rig.submit({ ...serving, image: "api", count: 4, maxPerWorker: 4 });
    rig.planAndStartAll();
    rig.reportListing(api, [...api.runs.values()].map(SchedulerHarness.listedRun), []);
    t.equal(api.runs.size, 4, "images are grouped on workers");
    rig.submit(filler("heavy", 2));
    const fillers = rig.planAndStartAll();
    for (const life of [web, api]) {
        rig.reportListing(life, [...life.runs.values()].map(SchedulerHarness.listedRun), []);
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
        "later fillers of the image keep away from the tasks that they disturb",
    );
    t.end();
});
