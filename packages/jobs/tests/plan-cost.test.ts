import { Resources } from "@samphireward/core/resources";
import t from "tap";
import { EndKind } from "../src/end-kind.js";
import type { WorkerEntry } from "../src/worker-entry.js";
import type { WorkerIncarnation } from "../src/worker-incarnation.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const WorkerCount = 40;

/** Adds workers that count how often their capacity is checked. */
const addWorkers = (
    harness: SchedulerHarness,
    entry: Partial<WorkerEntry> = {},
): { workers: WorkerIncarnation[]; takeChecks: () => number } => {
    let checks = 0;
    const workers = Array.from({ length: WorkerCount }, (_, index) => {
        const worker = harness.addWorker(`w${index}`, entry);
        const hasCapacityFor = worker.hasCapacityFor.bind(worker);
        worker.hasCapacityFor = reservation => {
            checks++;
            return hasCapacityFor(reservation);
        };
        return worker;
    });
    const takeChecks = (): number => {
        const taken = checks;
        checks = 0;
        return taken;
    };
    return { workers, takeChecks };
};

// Guards against a plan whose duration grows with the product of workers and tasks, which saturates the owner's thread.
t.test("load pattern: steps of many tasks start on many workers", t => {
    const harness = SchedulerHarness.create();
    const { takeChecks } = addWorkers(harness);
    const count = 30;
    const limit = WorkerCount + count;
    harness.submit({ count });
    t.equal(harness.planAndStartAll().length, count);
    const checks = takeChecks();
    t.ok(checks <= limit, `each worker is checked once, and again after a start there: ${checks} checks`);
    harness.submit({ count, gang: true });
    t.equal(harness.planAndStartAll().length, count);
    const gangChecks = takeChecks();
    t.ok(gangChecks <= limit, `also for a gang: ${gangChecks} checks`);
    t.end();
});

// Guards against plans that check all workers again and again for every waiting step, and against a task that waits
// although a worker has become free.
t.test("load pattern: steps of different sizes wait for full workers", t => {
    const harness = SchedulerHarness.create();
    const { takeChecks } = addWorkers(harness);
    const resources = (processors: number): Resources => Resources.create({ processors, memoryMb: 10 });
    harness.submit({ count: WorkerCount, resources: resources(15) });
    const [first] = harness.planAndStartAll();
    const sizes = Array.from({ length: 20 }, (_, index) => 3 + (index % 10));
    sizes.forEach((processors, index) =>
        harness.submit({ resources: resources(processors), lasting: index % 2 === 0 }),
    );
    harness.submit({ resources: resources(20), filler: true, image: "filler" });
    harness.submit({ resources: resources(30), filler: true, image: "other" });
    takeChecks();
    t.same(harness.planStarts(), []);
    const checks = takeChecks();
    t.equal(checks, 0, "no worker is checked for steps that are larger than the largest free capacity");
    if (first !== undefined) {
        harness.reportEnd(first, EndKind.Done);
    }
    t.not(harness.planStarts().length, 0, "tasks start in the first plan after a run has ended");
    const later = takeChecks();
    t.ok(later < WorkerCount, `only workers with free capacity are checked: ${later} checks`);
    t.end();
});

// Guards against a plan that scores all workers again for each run that would migrate and finds no worker.
t.test("load pattern: the tasks of a slow worker have nowhere to go", t => {
    const harness = SchedulerHarness.create();
    const slow = harness.addWorker("slow");
    const count = 5;
    harness.submit({ count });
    t.equal(harness.planAndStartAll().length, count);
    const { workers, takeChecks } = addWorkers(harness, { isDraining: true });
    for (let round = 0; round < 8; round++) {
        harness.clock.advance(500);
        harness.reportListing(slow, [...slow.runs.values()].map(SchedulerHarness.listedRun), []);
    }
    takeChecks();
    t.same(harness.planOrders(), [], "no other worker takes them");
    const checks = takeChecks();
    t.ok(checks <= WorkerCount, `the workers are checked once for the step: ${checks} checks`);
    workers
        .slice(0, 1)
        .forEach(worker => harness.scheduler.registerWorker({ ...worker.entry, isDraining: false }));
    t.not(
        harness.planOrders().length,
        0,
        "they migrate in the first plan after a worker has become available",
    );
    t.end();
});

// Guards against plans that score all workers again for each run of an evacuated data centre that finds no place.
t.test("load pattern: the tasks of an evacuated data centre have nowhere to go", t => {
    const harness = SchedulerHarness.create();
    const leaving = harness.addWorker("leaving", { zone: "leaving", labels: ["needed"] });
    const stepCount = 3;
    for (let index = 0; index < stepCount; index++) {
        harness.submit({ count: 4, lasting: true, requiredLabel: "needed" });
    }
    harness.planAndStartAll();
    const running = [...leaving.runs.values()].map(run => ({
        ...SchedulerHarness.listedRun(run),
        progressPercent: 100,
    }));
    harness.reportListing(leaving, running, []);
    const { takeChecks } = addWorkers(harness, { zone: "staying" });
    harness.scheduler.setEvacuated(new Set(["leaving"]));
    takeChecks();
    t.same(harness.planOrders(), []);
    const checks = takeChecks();
    t.equal(checks, WorkerCount * stepCount, "the workers are checked once for each step");
    t.same(harness.planOrders(), []);
    t.equal(takeChecks(), 0, "the next plan does not look again");
    harness.addWorker("suitable", { zone: "staying", labels: ["needed"] });
    harness.clock.advance(1_000);
    t.equal(harness.planOrders().length, 1, "a run moves once there is a place");
    t.end();
});

// Guards against plans that look up the pace of every run, although only fillers have one.
t.test("load pattern: many workers without fillers", t => {
    const harness = SchedulerHarness.create();
    const { workers } = addWorkers(harness);
    harness.submit({ count: WorkerCount });
    harness.planAndStartAll();
    const lookups = workers.map(worker =>
        t.capture(worker, "pacePercentFor", worker.pacePercentFor.bind(worker)),
    );
    harness.planOrders();
    const count = lookups.reduce((sum, calls) => sum + calls().length, 0);
    t.equal(count, 0, "no lookups");
    t.end();
});
