import { Resources } from "@samphireward/core/resources";
import t from "tap";
import type { StepSpec } from "../src/step-spec.js";
import { plainStep } from "./fixtures/plain-step.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const fillerStep = (image: string, processors: number): StepSpec => ({
    ...plainStep,
    filler: true,
    image,
    resources: Resources.create({ processors }),
});

// Guards against work that grows with the kinds of waiting fillers times the runs of all workers: it took 16% of the
// thread of an owner with 342 workers.
t.test("the runs of a worker are read once for fillers of all images and sizes", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    harness.submit({ lasting: true, image: "web", tailTargetMs: 45, count: 3 });
    harness.planAndStartAll();
    const { effects } = harness.scheduler;
    const { runs } = worker;
    const values = runs.values.bind(runs);
    let reads = 0;
    runs.values = (): ReturnType<typeof values> => {
        reads++;
        return values();
    };
    const speedOf = (image: string, processors: number): number =>
        effects.allowedSpeed(worker, fillerStep(image, processors), harness.clock.nowMs());
    const first = speedOf("heavy", 1);
    const readsForOne = reads;
    for (let index = 0; index < 50; index++) {
        speedOf(`filler-${index % 18}`, 1 + index);
    }
    t.equal(reads, readsForOne);
    t.ok(speedOf("heavy", 16) < first, "a larger filler may work at a lower share of its speed");
    worker.version++;
    speedOf("heavy", 1);
    t.ok(reads > readsForOne, "they are read again after a change of the runs or their readings");
    t.end();
});
