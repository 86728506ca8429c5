import { Resources } from "@samphireward/core/resources";
import t from "tap";
import type { Run } from "../src/run.js";
import type { StepSpec } from "../src/step-spec.js";
import { OrderKind } from "../src/order-kind.js";
import type { WorkerIncarnation } from "../src/worker-incarnation.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const IdleTailMs = 10;
const TargetMs = 45;
const PeriodMs = 14_000;
const ListingMs = 300;
/** Utilization that fillers of an image add to a serving task while they use all processors of its worker. */
/** Part of what the swinging load would allow a filler that knew it: 75% for three heavy fillers. */
const LeastPercent = 60;
const effects: Readonly<Record<string, Readonly<Record<string, number>>>> = {
    web: { heavy: 2.2, light: 0.08, "web-enemy": 2.2, "api-enemy": 0.05 },
    api: { "web-enemy": 0.05, "api-enemy": 2.2 },
};

const serving = (image: string, count = 1): Partial<StepSpec> => ({
    lasting: true,
    image,
    count,
    tailTargetMs: TargetMs,
});
const filler = (image: string, count = 1): Partial<StepSpec> => ({
    image,
    count,
    filler: true,
    checkpoints: true,
    estimatedMs: 60_000,
});

/** Load of serving tasks, which swings by half around 0.42. */
const loadAt = (ms: number): number => 0.42 * (1 + 0.5 * Math.sin((2 * Math.PI * ms) / PeriodMs));

const isFiller = (run: Run): boolean => run.task.step.spec.filler;

/** A worker whose serving tasks have the tail of a queue at the utilization that load and fillers make. */
class SwingingWorker {
    private constructor(
        private readonly rig: SchedulerHarness,
        readonly life: WorkerIncarnation,
    ) {}

    static create(rig: SchedulerHarness, id: string): SwingingWorker {
        return new SwingingWorker(rig, rig.addWorker(id));
    }

    get servingImages(): string[] {
        const runs = [...this.life.runs.values()].filter(run => !isFiller(run));
        return [...new Set(runs.map(run => run.task.step.spec.image))];
    }

    get fillers(): Run[] {
        return [...this.life.runs.values()].filter(isFiller);
    }

    tailMs(image: string): number {
        let utilization = loadAt(this.rig.clock.nowMs());
        for (const run of this.fillers) {
            const used = run.task.step.spec.resources.processors * (run.pacePercent / 100);
            const effect = effects[image]?.[run.task.step.spec.image] ?? 0;
            utilization += (effect * used) / this.life.entry.capacity.processors;
        }
        return Math.round(IdleTailMs / (1 - Math.min(0.98, utilization)));
    }

    /** Progress of a filler that has worked at the pace of the moment all the time. */
    private progressOf(run: Run): number {
        const elapsedMs = this.rig.clock.nowMs() - run.startedAtMs;
        return Math.min(99, (elapsedMs / run.task.step.spec.estimatedMs) * run.pacePercent);
    }

    list(): void {
        const rows = [...this.life.runs.values()].map(run => ({
            ...SchedulerHarness.listedRun(run),
            progressPercent: isFiller(run) ? this.progressOf(run) : 100,
            gauge: isFiller(run)
                ? run.task.step.spec.resources.processors * 10 * run.pacePercent
                : this.tailMs(run.task.step.spec.image),
        }));
        this.rig.reportListing(this.life, rows, []);
    }
}

/** What was seen over some time. */
interface Passed {
    /** Listings of a worker with its serving tasks over their target. */
    readonly over: number;
    /** Mean pace of the fillers, 0 to 100. */
    readonly pacePercent: number;
}

const pass = (rig: SchedulerHarness, workers: readonly SwingingWorker[], ms: number): Passed => {
    let over = 0;
    let percent = 0;
    let readings = 0;
    for (let elapsed = 0; elapsed < ms; elapsed += ListingMs) {
        rig.clock.advance(ListingMs);
        for (const worker of workers) {
            over += worker.servingImages.some(image => worker.tailMs(image) > TargetMs) ? 1 : 0;
            worker.list();
            worker.fillers.forEach(run => (percent += run.pacePercent));
            readings += worker.fillers.length;
        }
        for (const order of rig.planOrders()) {
            if (order.kind === OrderKind.Pace) {
                rig.scheduler.responses.recordPace(order.run, order.percent);
            }
        }
    }
    return { over, pacePercent: percent / Math.max(1, readings) };
};

// Guards against fillers that are slowed down only when the tail is over its target: the load rises faster than that.
t.test("load pattern: the load of serving tasks swings, beside fillers that disturb them", t => {
    const rig = SchedulerHarness.create();
    const worker = SwingingWorker.create(rig, "w1");
    rig.submit(serving("web", 2));
    rig.planAndStartAll();
    pass(rig, [worker], PeriodMs);
    rig.submit(filler("heavy", 3));
    rig.planAndStartAll();
    pass(rig, [worker], PeriodMs);
    const { over, pacePercent } = pass(rig, [worker], 3 * PeriodMs);
    const listings = (3 * PeriodMs) / ListingMs;
    t.ok(over <= listings * 0.05, `${over} of ${listings} listings over the target`);
    t.ok(pacePercent >= LeastPercent, `mean pace ${pacePercent}`);
    t.end();
});

// Guards against fillers that stand still although they hardly disturb: the load peaks with headroom to spare.
t.test("load pattern: the load of serving tasks swings, beside fillers that hardly disturb them", t => {
    const rig = SchedulerHarness.create();
    const worker = SwingingWorker.create(rig, "w1");
    rig.submit(serving("web", 2), filler("light", 4));
    rig.planAndStartAll();
    pass(rig, [worker], PeriodMs);
    const { pacePercent } = pass(rig, [worker], PeriodMs);
    t.ok(pacePercent >= 95, `mean pace ${pacePercent}`);
    t.end();
});

// Guards against serving tasks of several images on each worker: each closes it to the fillers that disturb it, and
// after some restarts no worker is left where a filler could work at full pace.
t.test("load pattern: serving tasks restart while others wait for room", t => {
    const rig = SchedulerHarness.create();
    const [web, api] = [SwingingWorker.create(rig, "w1"), SwingingWorker.create(rig, "w2")];
    rig.submit(serving("web", 16));
    rig.planAndStartAll();
    rig.submit(serving("api", 16));
    rig.planAndStartAll();
    pass(rig, [web, api], PeriodMs);
    for (const image of ["web-enemy", "api-enemy"]) {
        rig.submit(filler(image, 4));
        const runs = rig.planAndStartAll();
        pass(rig, [web, api], PeriodMs);
        runs.forEach(run => rig.reportEnd(run, "done"));
    }
    t.same([web.servingImages, api.servingImages], [["web"], ["api"]]);
    rig.submit(serving("api", 4));
    t.same(rig.planStarts(), [], "no room");
    pass(rig, [web, api], 3_000);
    for (const worker of [web, api]) {
        const [first] = [...worker.life.runs.values()].filter(run => !isFiller(run));
        t.ok(first);
        if (first !== undefined) {
            rig.reportEnd(first, "failed");
        }
    }
    rig.clock.advance(50);
    rig.planAndStartAll();
    t.same([web.servingImages, api.servingImages], [["web"], ["api"]], "each worker keeps to its kind");
    t.end();
});

// Guards against a job that never starts because its fillers disturb the serving tasks of every worker.
t.test("load pattern: fillers that can work at their speed nowhere", t => {
    const rig = SchedulerHarness.create();
    const worker = SwingingWorker.create(rig, "w1");
    rig.submit(serving("web", 2));
    rig.planAndStartAll();
    pass(rig, [worker], PeriodMs);
    rig.submit(filler("heavy", 8));
    rig.planAndStartAll();
    pass(rig, [worker], PeriodMs);
    const large = rig.submit({
        ...filler("heavy", 2),
        resources: Resources.create({ processors: 8, memoryMb: 10 }),
    });
    t.same(rig.planStarts(), [], "it waits for a better worker first");
    rig.clock.advance(2_000);
    worker.list();
    t.same(
        rig.planStarts().map(run => run.task.step.occurrence.job.spec.id),
        [large.id],
        "one of its tasks starts",
    );
    t.end();
});
