import { Resources } from "@samphireward/core/resources";
import fc from "fast-check";
import t from "tap";
import { Job } from "../src/job.js";
import type { LateStart } from "../src/late-start.js";
import { Occurrence } from "../src/occurrence.js";
import { Run } from "../src/run.js";
import type { Step } from "../src/step.js";
import { WorkerIncarnation } from "../src/worker-incarnation.js";
import { plainStep } from "./fixtures/plain-step.js";

const TaskCount = 4;
const resources = Resources.create({ processors: 2, memoryMb: 100 });

const makeWorker = (): WorkerIncarnation =>
    WorkerIncarnation.create({
        id: "w",
        startedAtMs: 1,
        address: "",
        service: "desk",
        zone: "zone",
        rack: "r1",
        labels: [],
        capacity: Resources.create({ processors: 16, memoryMb: 1_000 }),
        isDraining: false,
    });

const makeRuns = (worker: WorkerIncarnation): Run[] => {
    const spec = { ...plainStep, count: TaskCount, resources };
    const job = Job.create({
        id: "j",
        queue: "q",
        payload: "",
        steps: [spec],
        schedule: undefined,
        arrivedAtMs: 0,
    });
    const [step] = Occurrence.create(job, 0, 0).steps;
    return (step?.tasks ?? []).map(task => Run.create(task, worker, 1, 0));
};

const stepOf = ([run]: readonly Run[]): Step => {
    if (run === undefined) {
        throw new Error("expected a run");
    }
    return run.task.step;
};

const lateStart = (run: Run, isOver: boolean): LateStart => ({
    run,
    expiresAtMs: 1,
    isGivenUp: false,
    stopSentAtMs: 0,
    stopConfirmedAtMs: undefined,
    isOver,
});

/** The reservation computed anew from all that the worker holds. */
const expectedReservation = (worker: WorkerIncarnation): Resources => {
    const orphans = [...worker.orphanRuns.values()].map(
        ({ reservation }) => reservation ?? worker.entry.capacity,
    );
    const late = [...worker.lateStarts].filter(([name, { isOver }]) => !isOver && !worker.runs.has(name));
    return [
        ...[...worker.runs.values()].map(run => run.reservation),
        ...orphans,
        ...late.map(([, { run }]) => run.reservation),
    ].reduce((sum, each) => sum.plus(each), Resources.none);
};

const change = fc.record({
    kind: fc.constantFrom("add", "remove", "late", "over", "arrived", "orphans", "capacity"),
    task: fc.nat(TaskCount - 1),
    isKnown: fc.boolean(),
});

type Change = typeof change extends fc.Arbitrary<infer Value> ? Value : never;

const apply = (worker: WorkerIncarnation, run: Run, { kind, task, isKnown }: Change): void => {
    const { name } = run.task;
    switch (kind) {
        case "add":
            if (!worker.runs.has(name)) {
                worker.add(run);
            }
            break;
        case "remove":
            worker.remove(run);
            break;
        case "late":
        case "over":
            worker.setLateStart(name, lateStart(run, kind === "over"));
            break;
        case "arrived":
            worker.removeLateStart(name);
            break;
        case "orphans": {
            const orphan = { number: 1, reservation: isKnown ? resources : undefined, stopSentAtMs: 0 };
            worker.setOrphanRuns(
                new Map(Array.from({ length: task }, (_, index) => [`orphan-${index}`, orphan])),
            );
            break;
        }
        case "capacity": {
            const capacity = Resources.create({ processors: 4 * task, memoryMb: 300 * task });
            worker.entry = { ...worker.entry, capacity };
        }
    }
};

// Guards against an outdated reservation, by which a worker would get too many tasks or none.
t.test(
    "property: the reservation of a worker follows each change of what it holds and of its capacity",
    t => {
        fc.assert(
            fc.property(fc.array(change, { maxLength: 30 }), changes => {
                const worker = makeWorker();
                const runs = makeRuns(worker);
                const step = stepOf(runs);
                for (const each of changes) {
                    const run = runs[each.task];
                    if (run !== undefined) {
                        apply(worker, run, each);
                    }
                    const expected = expectedReservation(worker);
                    t.same(worker.reservedOrPending, expected);
                    t.equal(
                        worker.hasCapacityFor(step),
                        expected.plus(step.reservation).fitsIn(worker.entry.capacity),
                    );
                }
            }),
            { seed: 25, numRuns: 300 },
        );
        t.end();
    },
);

// Guards against objects made by each check of a worker's capacity, which cost a sixth of the thread in collections.
t.test("a check of a worker's capacity makes no objects unless something has changed", t => {
    const worker = makeWorker();
    const [run, other] = makeRuns(worker);
    if (run === undefined || other === undefined) {
        throw new Error("expected two runs");
    }
    worker.add(run);
    worker.setLateStart(other.task.name, lateStart(other, false));
    worker.setOrphanRuns(new Map([["orphan", { number: 1, reservation: resources, stopSentAtMs: 0 }]]));
    const reserved = worker.reservedOrPending;
    t.equal(worker.reservedOrPending, reserved, "the same object");
    const sums = t.capture(Resources.prototype, "plus", Resources.prototype.plus.bind(reserved));
    worker.hasCapacityFor(run.task.step);
    t.same(sums(), [], "no sums");
    t.end();
});
