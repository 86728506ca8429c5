import t from "tap";
import { assessStraggler } from "../src/assess-straggler.js";

/** A task that is at a tenth when all of its siblings are done. */
const stuck: Parameters<typeof assessStraggler>[0] = {
    elapsedMs: 2_000,
    progressPercent: 10,
    checkpoints: false,
    estimatedMs: 1_000,
    meanRelativeSpeed: undefined,
    medianDoneMs: 1_000,
    siblingsDone: 9,
    runningProgress: [10],
};

const valid: { readonly load: string; readonly readings: Partial<typeof stuck> }[] = [
    { load: "one task on a slow worker is left of its step", readings: {} },
    { load: "a worker stands still and its task lists no progress", readings: { progressPercent: 0 } },
    {
        load: "the siblings are at work and far ahead, and none is done",
        readings: {
            medianDoneMs: undefined,
            meanRelativeSpeed: 1,
            siblingsDone: 0,
            runningProgress: [90, 85, 80, 10],
        },
    },
    {
        load: "an estimate twice too high hides the slow task",
        readings: { estimatedMs: 2_000, medianDoneMs: 1_000 },
    },
    {
        load: "a copy continues from the checkpoint of a slow task",
        readings: { checkpoints: true, elapsedMs: 8_000, progressPercent: 70 },
    },
];

const invalid: { readonly load: string; readonly readings: Partial<typeof stuck> }[] = [
    { load: "a task that has just started", readings: { elapsedMs: 200, progressPercent: 0 } },
    { load: "a task that ends soon", readings: { elapsedMs: 6_000, progressPercent: 90 } },
    { load: "a task that ends no later than a copy would", readings: { progressPercent: 55 } },
    { load: "the last task of a step at the usual speed", readings: { elapsedMs: 900, progressPercent: 85 } },
    {
        load: "all tasks of a step are slow in the same way, because the estimate is too low",
        readings: { siblingsDone: 0, medianDoneMs: undefined, runningProgress: [12, 10, 10, 9] },
    },
    { load: "a task without siblings", readings: { siblingsDone: 0, runningProgress: [10] } },
    {
        load: "most of the siblings are no further along",
        readings: { siblingsDone: 1, runningProgress: [12, 10, 10, 8, 5] },
    },
    {
        load: "an owner that has just taken over and has read no speed",
        readings: { medianDoneMs: undefined, meanRelativeSpeed: undefined },
    },
    { load: "an estimate twice too low makes usual tasks look slow", readings: { medianDoneMs: 15_000 } },
    { load: "a task whose end is only to be listed", readings: { progressPercent: 100 } },
];

// Guards against slow tasks that hold up their step although a copy would end clearly earlier.
t.test("load patterns in which a task is worth a copy", t => {
    for (const { load, readings } of valid) {
        const straggler = assessStraggler({ ...stuck, ...readings });
        t.ok(straggler !== undefined && straggler.gainMs > 0 && straggler.copyMs > 0, load);
    }
    t.end();
});

// Guards against copies that waste processors beside tasks that are not slow or would end first.
t.test("load patterns in which a task is left alone", t => {
    for (const { load, readings } of invalid) {
        t.equal(assessStraggler({ ...stuck, ...readings }), undefined, load);
    }
    t.end();
});
