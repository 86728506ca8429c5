import { Resources } from "@samphireward/core/resources";
import fc from "fast-check";
import t from "tap";
import { CapacityIndex } from "../src/capacity-index.js";
import { Job } from "../src/job.js";
import { NeighbourEffects } from "../src/neighbour-effects.js";
import { Occurrence } from "../src/occurrence.js";
import { Run } from "../src/run.js";
import type { StepSpec } from "../src/step-spec.js";
import type { Step } from "../src/step.js";
import { WorkerIncarnation } from "../src/worker-incarnation.js";
import { WorkerRanking } from "../src/worker-ranking.js";
import { plainStep } from "./fixtures/plain-step.js";

const NowMs = 10_000;
const service = "desk";
const images = ["a", "b", "c"];
const racks = ["r1", "r2", "r3"];

const rack = fc.constantFrom(...racks);
const image = fc.constantFrom(...images);

/** Mostly the usual value, so that most steps find several workers. */
const mostly = <T>(usual: T, ...others: readonly T[]): fc.Arbitrary<T> =>
    fc.oneof(
        { weight: 6, arbitrary: fc.constant(usual) },
        { weight: 1, arbitrary: fc.constantFrom(...others) },
    );

const stepSpec = fc
    .record({
        count: fc.integer({ min: 2, max: 12 }),
        processors: fc.constantFrom(0.3, 1, 1.5, 4),
        memoryMb: mostly(100, 0, 400),
        kind: fc.constantFrom("short", "serving", "filler"),
        image,
        sameRack: fc.boolean(),
        preferredRack: fc.option(rack, { nil: undefined }),
        maxPerWorker: mostly<number | undefined>(undefined, 1, 2),
    })
    .map(({ processors, memoryMb, kind, ...spec }): StepSpec => {
        const resources = Resources.create({ processors, memoryMb });
        const isServing = kind === "serving";
        const filler = kind === "filler";
        return {
            ...plainStep,
            ...spec,
            resources,
            filler,
            lasting: isServing,
            tailTargetMs: isServing ? 20 : 0,
        };
    });

const workerState = fc.record({
    rack,
    processors: fc.constantFrom<number>(2, 4, 8, 8.5),
    memoryMb: mostly(1_000, 200),
    isDraining: mostly(false, true),
    speed: mostly(1, 0.05, 0.3),
    avoidUntilMs: mostly(0, NowMs + 1),
    sameImagesOnlyUntilMs: mostly(0, NowMs + 1),
    /** Images of the runs of other steps, some of them serving. */
    others: fc.array(fc.record({ image, isServing: fc.boolean() }), { maxLength: 3 }),
    /** Indexes of the step's tasks that have failed here, and of those that an earlier run still occupies. */
    failed: fc.array(fc.nat(11), { maxLength: 4 }),
    occupied: fc.array(fc.nat(11), { maxLength: 2 }),
});

const makeStep = (id: string, spec: StepSpec): Step => {
    const job = Job.create({
        id,
        queue: "q",
        payload: "",
        steps: [spec],
        schedule: undefined,
        arrivedAtMs: 0,
    });
    const [step] = Occurrence.create(job, 0, 0).steps;
    if (step === undefined) {
        throw new Error("expected a step");
    }
    return step;
};

const startOn = (worker: WorkerIncarnation, step: Step, index: number, isCurrent: boolean): void => {
    const task = step.tasks[index];
    if (task !== undefined) {
        const run = Run.create(task, worker, 1, NowMs);
        task.run = isCurrent ? run : task.run;
        worker.add(run);
    }
};

type WorkerState = typeof workerState extends fc.Arbitrary<infer State> ? State : never;

const makeWorker = (state: WorkerState, number: number, step: Step): WorkerIncarnation => {
    const { processors, memoryMb, speed, avoidUntilMs, sameImagesOnlyUntilMs } = state;
    const worker = WorkerIncarnation.create({
        id: `w${number}`,
        startedAtMs: 1,
        address: "",
        service,
        zone: "zone",
        rack: state.rack,
        labels: [],
        capacity: Resources.create({ processors, memoryMb }),
        isDraining: state.isDraining,
    });
    worker.isReachable = true;
    worker.hasListedRuns = true;
    Object.assign(worker, { speed, avoidUntilMs, sameImagesOnlyUntilMs, speedUpdatedAtMs: NowMs });
    state.others.forEach((other, index) => {
        const tailTargetMs = other.isServing ? 20 : 0;
        const spec = { ...plainStep, image: other.image, tailTargetMs, filler: !other.isServing };
        startOn(worker, makeStep(`${number}-${index}`, spec), 0, true);
    });
    state.occupied.forEach(index => startOn(worker, step, index, false));
    state.failed.forEach(index => step.tasks[index]?.failedWorkerIds.add(worker.entry.id));
    return worker;
};

/** An empty worker. */
const usual: WorkerState = {
    rack: "r1",
    processors: 8,
    memoryMb: 1_000,
    isDraining: false,
    speed: 1,
    avoidUntilMs: 0,
    sameImagesOnlyUntilMs: 0,
    others: [],
    failed: [],
    occupied: [],
};

interface Cell {
    readonly spec: StepSpec;
    readonly states: readonly WorkerState[];
    readonly requiresGoodFit: boolean;
}

/** Starts the tasks of a step one after another; returns the ids of the chosen workers. */
const place = (
    { spec, states, requiresGoodFit }: Cell,
    { scoresAllForEachTask, usesIndex }: { scoresAllForEachTask: boolean; usesIndex: boolean },
): string[] => {
    const step = makeStep("job", spec);
    const all = states.map((state, index) => makeWorker(state, index, step));
    const workers = usesIndex ? CapacityIndex.create(all).candidates(step, requiresGoodFit) : all;
    const effects = NeighbourEffects.create();
    effects.restore({
        headrooms: { a: 3, b: 1.6, c: 1 },
        pairs: { a: [["b", 9, 1]], b: [["a", 2, 1]], c: [["c", 0, 1]] },
    });
    const context = { workers, step, service, effects, nowMs: NowMs, requiresGoodFit };
    const shared = WorkerRanking.create(context);
    return step.tasks.map(task => {
        const ranking = scoresAllForEachTask ? WorkerRanking.create(context) : shared;
        const worker = ranking.choose(task);
        if (worker !== undefined) {
            startOn(worker, step, task.index, true);
        }
        return worker?.entry.id ?? "none";
    });
};

const cell = fc.record({
    spec: stepSpec,
    states: fc.array(workerState, { minLength: 1, maxLength: 8 }),
    requiresGoodFit: fc.boolean(),
});

// Guards against choices by outdated scores: a start changes the score of its worker, and of others by the step's rack.
t.test("property: the choices equal those of scoring all workers for each task", t => {
    fc.assert(
        fc.property(cell, each => {
            const expected = place(each, { scoresAllForEachTask: true, usesIndex: false });
            t.same(place(each, { scoresAllForEachTask: false, usesIndex: false }), expected);
        }),
        { seed: 23, numRuns: 1_000 },
    );
    t.end();
});

// Guards against a task that waits although a worker has capacity, and against another choice among the candidates.
t.test(
    "property: the choices among the candidates of the capacity index equal those among all workers",
    t => {
        fc.assert(
            fc.property(cell, each => {
                const expected = place(each, { scoresAllForEachTask: true, usesIndex: false });
                t.same(place(each, { scoresAllForEachTask: false, usesIndex: true }), expected);
            }),
            { seed: 24, numRuns: 1_000 },
        );
        t.end();
    },
);

// Guards against plans that search all workers again for each of many steps that ask for as much as others.
t.test("steps that ask for as many processors share their candidates", t => {
    const workers = Array.from({ length: 3 }, (_, number) =>
        makeWorker(usual, number, makeStep("job", plainStep)),
    );
    const index = CapacityIndex.create(workers);
    const small = index.candidates(makeStep("a", plainStep), true);
    t.same(small, workers);
    t.equal(index.candidates(makeStep("b", plainStep), true), small, "the same array");
    const large = { ...plainStep, resources: Resources.create({ processors: 9 }) };
    t.same(index.candidates(makeStep("c", large), true), []);
    t.same(
        index.candidates(makeStep("d", { ...large, filler: true }), true),
        workers,
        "half of it must be unused",
    );
    t.end();
});

// Guards against a task that waits because sums of fractional reservations are not exact.
t.test("a worker whose free processors differ from the request by a rounding error is a candidate", t => {
    const step = makeStep("job", { ...plainStep, resources: Resources.create({ processors: 0.1 }) });
    const worker = makeWorker({ ...usual, processors: 0.9 }, 0, step);
    const other = { ...plainStep, resources: Resources.create({ processors: 0.8 }) };
    startOn(worker, makeStep("other", other), 0, true);
    t.ok(worker.hasCapacityFor(step));
    t.ok(0.9 - 0.8 < 0.1, "the difference is too small");
    t.same(CapacityIndex.create([worker]).candidates(step, true), [worker]);
    t.end();
});

// Guards against a task that starts where it has failed or still runs, and against another order among equal workers.
t.test("the tasks of a step differ in the workers that they avoid", t => {
    const spec = { ...plainStep, count: 4 };
    const step = makeStep("job", spec);
    const states = [
        { ...usual, failed: [1] },
        usual,
        { ...usual, others: [{ image: "a", isServing: false }] },
    ];
    const workers = states.map((state, index) => makeWorker(state, index, step));
    const effects = NeighbourEffects.create();
    const ranking = WorkerRanking.create({
        workers,
        step,
        service,
        effects,
        nowMs: NowMs,
        requiresGoodFit: true,
    });
    const choices = (): unknown[] => step.tasks.map(task => ranking.choose(task)?.entry.id);
    t.same(
        choices(),
        ["w0", "w1", "w0", "w0"],
        "the first of equal workers, except for the task that failed there",
    );
    workers.slice(0, 2).forEach(worker => startOn(worker, step, 2, false));
    t.same(choices(), ["w0", "w1", "w2", "w0"], "an earlier run of a task keeps it off the worker");
    t.end();
});
