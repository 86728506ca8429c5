import t from "tap";
import { EndKind } from "../src/end-kind.js";
import { OrderKind } from "../src/order-kind.js";
import { Resources } from "@samphireward/core/resources";
import type { Run } from "../src/run.js";
import type { StepSpec } from "../src/step-spec.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const large = Resources.create({ processors: 4, memoryMb: 100 });
const small = Resources.create({ processors: 2, memoryMb: 100 });
const lasting = (resources: Resources, count: number): Partial<StepSpec> => ({
    lasting: true,
    resources,
    count,
});
const minRunTimeMs = 3_000;

/** A full worker whose lasting tasks have run long enough to be preempted. */
const fullWorker = (
    steps: Partial<StepSpec>[],
): { harness: SchedulerHarness; stops: () => string[]; runs: Run[] } => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    steps.forEach(step => harness.submit(step));
    const runs = harness.planAndStartAll();
    harness.clock.advance(minRunTimeMs);
    harness.reportListing(
        worker,
        runs.map(run => ({ ...SchedulerHarness.listedRun(run), progressPercent: 100 })),
        [],
    );
    const stops = (): string[] =>
        harness.planOrders().flatMap(order => (order.kind === OrderKind.Stop ? [order.task] : []));
    return { harness, stops, runs };
};

// Guards against short tasks that wait for minutes while lasting tasks reserve all processors.
t.test("load pattern: lasting tasks reserve all processors, and short tasks arrive", t => {
    const { harness, stops, runs } = fullWorker([lasting(small, 6), lasting(large, 1)]);
    harness.submit({});
    t.same(stops(), [], "it waits a moment first");
    harness.clock.advance(200);
    const stopped = stops();
    t.equal(stopped.length, 1, "one is preempted");
    const victim = runs.find(run => run.task.name === stopped[0]);
    t.equal(victim?.reservation.processors, 4, "the largest of those that were not preempted yet");
    if (victim !== undefined) {
        harness.reportEnd(victim, EndKind.Stopped);
    }
    t.equal(harness.planAndStartAll().filter(run => !run.task.step.spec.lasting).length, 1);
    t.end();
});

// Guards against a lasting task that is not started again for many seconds: it was suspected to crash its workers, and had
// to wait for another trial after each short task that it made way for.
t.test("a suspected lasting task does not make way", t => {
    const { harness, stops, runs } = fullWorker([lasting(large, 4)]);
    const suspects = runs.slice(0, -1);
    suspects.forEach(({ task }) => (task.suspicion = 1));
    harness.submit({});
    stops();
    harness.clock.advance(200);
    t.same(stops(), [runs.at(-1)?.task.name], "the only one that is not suspected");
    t.end();
});

// Guards against keeping capacity from lasting tasks in anticipation of short ones, which the rules forbid.
t.test("load pattern: short tasks free capacity while lasting tasks wait", t => {
    const { harness, runs } = fullWorker([lasting(small, 7), {}, {}]);
    harness.submit(lasting(small, 1));
    t.same(harness.planStarts(), [], "no capacity");
    const short = runs.filter(run => !run.task.step.spec.lasting);
    short.forEach(run => harness.reportEnd(run, EndKind.Done));
    t.equal(harness.planStarts().length, 1, "the capacity is used at once");
    t.end();
});

// Guards against more unavailable tasks of a step than its job allows.
t.test("a step is not preempted beyond the number of tasks that may be unavailable", t => {
    const { harness, stops } = fullWorker([{ ...lasting(large, 4), maxUnavailable: 1 }]);
    harness.submit({ count: 8 });
    t.same(stops(), []);
    harness.clock.advance(200);
    const stopped = stops();
    t.equal(stopped.length, 1);
    harness.clock.advance(900);
    t.same(stops(), stopped, "only the previous stop order is repeated");
    t.end();
});

// Guards against preempting the same jobs again and again: the largest were available a third as often as others.
t.test("load pattern: short tasks arrive repeatedly", t => {
    const { harness, stops, runs } = fullWorker([
        lasting(small, 2),
        lasting(small, 2),
        lasting(small, 2),
        lasting(large, 1),
    ]);
    const jobs = new Set<string>();
    for (let round = 0; round < 2; round++) {
        harness.submit({ count: 8 });
        stops();
        harness.clock.advance(200);
        for (const stopped of stops()) {
            const victim = runs.find(run => run.task.name === stopped);
            if (victim !== undefined) {
                jobs.add(victim.task.step.occurrence.job.spec.id);
                harness.reportEnd(victim, EndKind.Stopped);
            }
        }
        harness.planAndStartAll();
    }
    t.equal(jobs.size, 4, "each job is preempted before one is preempted twice");
    t.end();
});

// Guards against preempting a lasting task for each short one, although the capacity of one is enough for all.
t.test("load pattern: several short tasks arrive that fit into the capacity of one lasting task", t => {
    const { harness, stops } = fullWorker([lasting(large, 4)]);
    harness.submit({ count: 4 });
    stops();
    harness.clock.advance(200);
    t.equal(stops().length, 1);
    t.end();
});

// Guards against plans that compare the images of a worker again for each of its lasting tasks, of which a fleet runs
// thousands, whenever a short task waits.
t.test("load pattern: short tasks wait beside workers whose lasting tasks have one image", t => {
    const serving = { ...lasting(small, 8), image: "one", tailTargetMs: 50 };
    const { harness, stops } = fullWorker([serving]);
    const { effects } = harness.scheduler;
    const comparisons = t.capture(
        effects,
        "compatibilityGainWithout",
        effects.compatibilityGainWithout.bind(effects),
    );
    harness.submit({});
    stops();
    harness.clock.advance(200);
    t.equal(stops().length, 1, "one is preempted");
    t.equal(comparisons().length, 0, "no comparisons");
    t.end();
});
