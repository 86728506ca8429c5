import { Resources } from "@samphireward/core/resources";
import { SeededRandom } from "@samphireward/core/seeded-random";
import t from "tap";
import { ExclusionReason } from "../src/exclusion-reason.js";
import type { Order } from "../src/order.js";
import { OrderKind } from "../src/order-kind.js";
import { PlacementOutcome } from "../src/placement-outcome.js";
import type { StepSpec } from "../src/step-spec.js";
import { createStartOrder } from "../src/create-start-order.js";
import { StartOrderName } from "../src/start-order-name.js";
import type { WorkerIncarnation } from "../src/worker-incarnation.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const Seeds = 60;

const resources = (processors: number): Resources => Resources.create({ processors, memoryMb: 100 });

/** A random step of any kind that a plan treats in its own way. */
const randomStep = (random: SeededRandom): Partial<StepSpec> => {
    const kinds: Partial<StepSpec>[] = [
        {},
        { lasting: true },
        { lasting: true, tailTargetMs: 50, image: "serve-a" },
        { lasting: true, tailTargetMs: 50, image: "serve-b" },
        { filler: true, image: "fill-a" },
        { gang: true, count: 3 },
        { requiredLabel: "b" },
        { preferredRack: "r1-2" },
        { maxPerWorker: 1, count: 2 },
        { sameRack: true, count: 2 },
    ];
    const kind = kinds[Math.floor(random.next() * kinds.length)];
    const estimatedMs = 500 + Math.floor(random.next() * 4_000);
    return { resources: resources(1 + Math.floor(random.next() * 12)), estimatedMs, ...kind };
};

/** A cell of unlike workers with random work, some of it waiting, after a plan that started what could start. */
const randomCell = (seed: number): { harness: SchedulerHarness; random: SeededRandom } => {
    const random = SeededRandom.create(seed * 7_919);
    const harness = SchedulerHarness.create();
    for (let index = 0; index < 8; index++) {
        const worker = harness.addWorker(`w${index}`, {
            zone: index % 4 === 0 ? "zone-b" : "zone-a",
            rack: `r1-${index % 3}`,
            labels: random.next() < 0.3 ? ["b"] : [],
            capacity: resources(4 + Math.floor(random.next() * 20)).plus(
                Resources.create({ memoryMb: 9_000 }),
            ),
            isDraining: random.next() < 0.1,
        });
        worker.speed = random.next() < 0.2 ? 0.1 : 1;
        worker.speedUpdatedAtMs = harness.clock.nowMs();
        worker.avoidUntilMs = random.next() < 0.1 ? harness.clock.nowMs() + 500 : 0;
    }
    if (random.next() < 0.3) {
        harness.scheduler.setEvacuated(new Set(["zone-b"]));
    }
    for (let jobs = Math.floor(random.next() * 14); jobs > 0; jobs--) {
        harness.submit(randomStep(random));
    }
    harness.planAndStartAll();
    // Enough for overdue tasks, and for the holds and relaxed fits that follow from them.
    for (let waits = Math.floor(random.next() * 3); waits > 0; waits--) {
        harness.clock.advance(400);
        harness.planAndStartAll();
    }
    return { harness, random };
};

const describe = (order: Order): string =>
    order.kind === OrderKind.Start
        ? `start ${order.run.task.name} on ${order.worker.entry.id}`
        : `${order.kind} on ${order.worker.entry.id}`;

/** All that a plan decides from, of the tasks and the workers of a cell. */
const stateOf = ({ scheduler }: SchedulerHarness): unknown => ({
    tasks: [...scheduler.jobs.undecided].flatMap(job =>
        [...job.tasks()].map(task => [
            task.name,
            task.readySinceMs,
            task.lastRun,
            task.suspicion,
            task.step.permits !== undefined,
        ]),
    ),
    workers: [...scheduler.fleet.workers].map(({ key, version, heldFor, trialTask, runs }) => [
        key,
        version,
        heldFor?.name,
        trialTask?.name,
        [...runs.keys()],
    ]),
    load: scheduler.load,
});

// Guards against an explanation that names another worker than the one on which the job then starts.
t.test("the explained worker is the one that the next plan chooses", t => {
    let started = 0;
    for (let seed = 1; seed <= Seeds; seed++) {
        const { harness, random } = randomCell(seed);
        const spec = harness.makeJob(randomStep(random), randomStep(random));
        const explained = harness.scheduler.explainPlacement(spec);
        harness.scheduler.addJob(spec);
        const number = explained?.step?.number ?? 0;
        const first = `${spec.id}.0.${number}.0`;
        const run = harness.planStarts().find(({ task }) => task.name === first);
        t.equal(explained?.worker?.id, run?.worker.entry.id, `seed ${seed}`);
        t.equal(explained?.outcome === PlacementOutcome.Starts, run !== undefined, `seed ${seed}`);
        started += run === undefined ? 0 : 1;
    }
    t.ok(started > Seeds / 5 && started < Seeds, `${started} of ${Seeds} started`);
    t.end();
});

// Guards against an explanation that lets a task age, holds a worker, opens a trial or takes a permit, and so changes what
// the next plans order.
t.test("the next plans are the same with and without an explanation before them", t => {
    for (let seed = 1; seed <= Seeds; seed++) {
        const orders = [true, false].map(explains => {
            const { harness, random } = randomCell(seed);
            const submitted = harness.makeJob(randomStep(random));
            harness.scheduler.addJob(submitted);
            const before = JSON.stringify(stateOf(harness));
            const asked = harness.makeJob(randomStep(random));
            if (explains) {
                harness.scheduler.explainPlacement(asked);
                t.equal(JSON.stringify(stateOf(harness)), before, `seed ${seed}`);
            }
            return [0, 100, 700].map(ms => {
                harness.clock.advance(ms);
                return harness.planOrders().map(describe);
            });
        });
        t.same(orders[0], orders[1], `seed ${seed}`);
    }
    t.end();
});

const cases: [
    reason: ExclusionReason,
    step: Partial<StepSpec>,
    prepare: (worker: WorkerIncarnation) => void,
][] = [
    [ExclusionReason.OtherService, {}, worker => (worker.entry = { ...worker.entry, service: "other" })],
    [ExclusionReason.Draining, {}, worker => (worker.entry = { ...worker.entry, isDraining: true })],
    [ExclusionReason.Evacuated, {}, worker => (worker.isEvacuated = true)],
    [ExclusionReason.NotRegistered, {}, worker => (worker.isRegistered = false)],
    [ExclusionReason.Unreachable, {}, worker => (worker.isReachable = false)],
    [ExclusionReason.Unread, {}, worker => (worker.hasListedRuns = false)],
    [ExclusionReason.LeaseNotExtended, {}, worker => (worker.isLeaseFrozen = true)],
    [ExclusionReason.NotInRoster, {}, worker => (worker.isStartBlocked = true)],
    [ExclusionReason.Avoided, {}, worker => (worker.avoidUntilMs = Infinity)],
    [ExclusionReason.NoLabel, { requiredLabel: "none" }, () => undefined],
    [ExclusionReason.TooSmall, { resources: resources(17) }, () => undefined],
    [
        ExclusionReason.NoMemory,
        { resources: Resources.create({ processors: 1, memoryMb: 64_000 }) },
        () => undefined,
    ],
    [ExclusionReason.NoProcessors, { resources: resources(16) }, () => undefined],
    [
        ExclusionReason.PoorFit,
        { filler: true, resources: resources(16) },
        worker =>
            (worker.entry = {
                ...worker.entry,
                capacity: Resources.create({ processors: 2, memoryMb: 9_000 }),
            }),
    ],
];

// Guards against an operator who is told another reason than the one for which a worker gets no task.
t.test("each excluded worker is counted under its reason", t => {
    for (const [reason, step, prepare] of cases) {
        const harness = SchedulerHarness.create();
        const worker = harness.addWorker("w1");
        harness.submit({});
        harness.planAndStartAll();
        prepare(worker);
        const explained = harness.scheduler.explainPlacement(harness.makeJob(step));
        t.same(explained?.workers.excluded, [{ reason, count: 1 }], reason);
        t.equal(explained?.worker, undefined, reason);
    }
    t.end();
});

// Guards against a wait that is explained without the work ahead, and against an unknown queue that is not told apart.
t.test("a job that waits is told its place, its expected start and its reason", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w1");
    harness.submit({ resources: resources(16), estimatedMs: 3_000 });
    harness.planAndStartAll();
    harness.submit({ resources: resources(16), estimatedMs: 500, count: 2 });
    harness.planStarts();
    const spec = harness.makeJob({ resources: resources(2), estimatedMs: 1_000 });
    const wallMs = harness.clock.wallMs();
    t.match(harness.scheduler.explainPlacement(spec), {
        outcome: PlacementOutcome.Waits,
        ahead: { steps: 1, tasks: 2, processorMs: 16_000, startableSteps: 0 },
        expectedStartMs: wallMs + 3_000,
        expectedJobEndMs: wallMs + 4_000,
    });
    t.equal(harness.scheduler.explainPlacement({ ...spec, queue: "none" }), undefined);
    const large = harness.makeJob({ resources: resources(99) });
    t.equal(harness.scheduler.explainPlacement(large)?.outcome, PlacementOutcome.FitsNoWorker);
    harness.scheduler.addJob(spec);
    t.equal(harness.scheduler.explainPlacement(spec)?.outcome, PlacementOutcome.Known);
    const schedule = { occurrences: 1, firstAtMs: wallMs + 60_000, intervalMs: 0 };
    const later = harness.scheduler.explainPlacement({ ...harness.makeJob({}), schedule });
    t.match(later, { outcome: PlacementOutcome.NotOpen, expectedStartMs: wallMs + 60_000 });
    harness.requirePermits();
    const permitted = harness.scheduler.explainPlacement(harness.makeJob({}));
    t.match(permitted, { outcome: PlacementOutcome.Waits, reason: /permit service/ });
    t.end();
});

// Guards against a forecast of a serving task that is kept from the time of a question, and decides in the next plan where
// a filler starts.
t.test("a question does not fix what the next plan forecasts", t => {
    const filler = { filler: true, image: "fill", resources: resources(2) };
    const speeds = [true, false].map(explains => {
        const harness = SchedulerHarness.create();
        const worker = harness.addWorker("w1");
        harness.submit({ lasting: true, tailTargetMs: 50, image: "serve", resources: resources(4) });
        const [run] = harness.planAndStartAll();
        t.ok(run);
        // The tail latency rises, so that the forecast depends on the time at which it is made.
        for (let gauge = 20; run !== undefined && gauge <= 34; gauge += 2) {
            harness.clock.advance(500);
            harness.reportListing(worker, [{ ...SchedulerHarness.listedRun(run), gauge }], []);
        }
        if (explains) {
            t.ok(harness.scheduler.explainPlacement(harness.makeJob(filler)));
        }
        harness.clock.advance(300);
        const spec = { ...harness.makeJob(filler).steps[0] } as StepSpec;
        return harness.scheduler.effects.allowedSpeed(worker, spec, harness.clock.nowMs());
    });
    t.equal(speeds[0], speeds[1]);
    t.ok(Number(speeds[0]) > 0 && Number(speeds[0]) < 1, `${speeds[0]}`);
    t.end();
});

// Guards against a rank by deadline while the plans start tasks in another order.
t.test("the rank is that of the order in which the plans start tasks", t => {
    const cases: readonly [name: StartOrderName, ahead: number][] = [
        [StartOrderName.Deadline, 2],
        [StartOrderName.Worth, 0],
    ];
    for (const [name, ahead] of cases) {
        const harness = SchedulerHarness.create(1, createStartOrder(name));
        harness.addWorker("w1", { capacity: Resources.create({ processors: 1, memoryMb: 9_000 }) });
        // More work than can end in time: by worth, jobs go first that are worth more for their work.
        const large = harness.submit({ count: 60, resources: resources(1) });
        harness.submit({ resources: resources(1) });
        harness.clock.advance(100);
        harness.planAndStartAll();
        const spec = harness.makeJob({ resources: resources(1) });
        const explained = harness.scheduler.explainPlacement(spec);
        harness.scheduler.addJob(spec);
        harness.clock.advance(50);
        harness.addWorker("w2", { capacity: Resources.create({ processors: 1, memoryMb: 9_000 }) });
        const [run] = harness.planStarts();
        t.equal(explained?.ahead.steps, ahead, name);
        const first = ahead === 0 ? spec.id : large.id;
        t.equal(run?.task.step.occurrence.job.spec.id, first, name);
    }
    t.end();
});
