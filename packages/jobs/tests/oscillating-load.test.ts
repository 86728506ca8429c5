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
/** Required mean pace; a filler that knew the oscillating load in advance could work at 75% (three heavy fillers). */
const MinMeanPacePercent = 60;
/** Utilization that fillers of an image add to a serving task while they use all processors of its worker. */
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

/** Load of serving tasks, which oscillates around 0.42 by half of that. */
const loadAt = (ms: number): number => 0.42 * (1 + 0.5 * Math.sin((2 * Math.PI * ms) / PeriodMs));

const isFiller = (run: Run): boolean => run.task.step.spec.filler;

/** A worker whose serving tasks have the tail latency of a queue at the utilization by load and fillers. */
class OscillatingWorker {
    private constructor(
        private readonly harness: SchedulerHarness,
        readonly incarnation: WorkerIncarnation,
    ) {}

    static create(harness: SchedulerHarness, id: string): OscillatingWorker {
        return new OscillatingWorker(harness, harness.addWorker(id));
    }

    get servingImages(): string[] {
        const runs = [...this.incarnation.runs.values()].filter(run => !isFiller(run));
        return [...new Set(runs.map(run => run.task.step.spec.image))];
    }

    get fillers(): Run[] {
        return [...this.incarnation.runs.values()].filter(isFiller);
    }

    tailMs(image: string): number {
        let utilization = loadAt(this.harness.clock.nowMs());
        for (const run of this.fillers) {
            const used = run.task.step.spec.resources.processors * (run.pacePercent / 100);
            const effect = effects[image]?.[run.task.step.spec.image] ?? 0;
            utilization += (effect * used) / this.incarnation.entry.capacity.processors;
        }
        return Math.round(IdleTailMs / (1 - Math.min(0.98, utilization)));
    }

    /** Progress of a filler, as if it had always worked at its current pace. */
    private progressOf(run: Run): number {
        const elapsedMs = this.harness.clock.nowMs() - run.startedAtMs;
        return Math.min(99, (elapsedMs / run.task.step.spec.estimatedMs) * run.pacePercent);
    }

    list(): void {
        const rows = [...this.incarnation.runs.values()].map(run => ({
            ...SchedulerHarness.listedRun(run),
            progressPercent: isFiller(run) ? this.progressOf(run) : 100,
            gauge: isFiller(run)
                ? run.task.step.spec.resources.processors * 10 * run.pacePercent
                : this.tailMs(run.task.step.spec.image),
        }));
        this.harness.reportListing(this.incarnation, rows, []);
    }
}

/** Observations over a period of time. */
interface Observations {
    /** Number of listings with a serving task over its target. */
    readonly overTargetListings: number;
    /** Mean pace of the fillers, 0 to 100. */
    readonly pacePercent: number;
}

const advance = (
    harness: SchedulerHarness,
    workers: readonly OscillatingWorker[],
    ms: number,
): Observations => {
    let overTargetListings = 0;
    let percent = 0;
    let readings = 0;
    for (let elapsed = 0; elapsed < ms; elapsed += ListingMs) {
        harness.clock.advance(ListingMs);
        for (const worker of workers) {
            overTargetListings += worker.servingImages.some(image => worker.tailMs(image) > TargetMs) ? 1 : 0;
            worker.list();
            worker.fillers.forEach(run => (percent += run.pacePercent));
            readings += worker.fillers.length;
        }
        for (const order of harness.planOrders()) {
            if (order.kind === OrderKind.Pace) {
                harness.scheduler.responses.recordPace(order.run, order.percent);
            }
        }
    }
    return { overTargetListings, pacePercent: percent / Math.max(1, readings) };
};

// Guards against fillers that are slowed down only once the tail latency exceeds its target: the load rises faster.
t.test("load pattern: the load of serving tasks oscillates beside fillers that disturb them", t => {
    const harness = SchedulerHarness.create();
    const worker = OscillatingWorker.create(harness, "w1");
    harness.submit(serving("web", 2));
    harness.planAndStartAll();
    advance(harness, [worker], PeriodMs);
    harness.submit(filler("heavy", 3));
    harness.planAndStartAll();
    advance(harness, [worker], PeriodMs);
    const { overTargetListings, pacePercent } = advance(harness, [worker], 3 * PeriodMs);
    const listings = (3 * PeriodMs) / ListingMs;
    t.ok(
        overTargetListings <= listings * 0.05,
        `${overTargetListings} of ${listings} listings over the target`,
    );
    t.ok(pacePercent >= MinMeanPacePercent, `mean pace ${pacePercent}`);
    t.end();
});

// Guards against pausing fillers that hardly disturb: even at peak load there is headroom to spare.
t.test("load pattern: the load of serving tasks oscillates beside fillers that hardly disturb them", t => {
    const harness = SchedulerHarness.create();
    const worker = OscillatingWorker.create(harness, "w1");
    harness.submit(serving("web", 2), filler("light", 4));
    harness.planAndStartAll();
    advance(harness, [worker], PeriodMs);
    const { pacePercent } = advance(harness, [worker], PeriodMs);
    t.ok(pacePercent >= 95, `mean pace ${pacePercent}`);
    t.end();
});

// Guards against serving tasks of several images on each worker: each rules out the fillers that disturb it, and after
// some restarts no worker is left on which a filler could work at full pace.
t.test("load pattern: serving tasks restart while others wait for capacity", t => {
    const harness = SchedulerHarness.create();
    const [web, api] = [OscillatingWorker.create(harness, "w1"), OscillatingWorker.create(harness, "w2")];
    harness.submit(serving("web", 16));
    harness.planAndStartAll();
    harness.submit(serving("api", 16));
    harness.planAndStartAll();
    advance(harness, [web, api], PeriodMs);
    for (const image of ["web-enemy", "api-enemy"]) {
        harness.submit(filler(image, 4));
        const runs = harness.planAndStartAll();
        advance(harness, [web, api], PeriodMs);
        runs.forEach(run => harness.reportEnd(run, "done"));
    }
    t.same([web.servingImages, api.servingImages], [["web"], ["api"]]);
    harness.submit(serving("api", 4));
    t.same(harness.planStarts(), [], "no capacity");
    advance(harness, [web, api], 3_000);
    for (const worker of [web, api]) {
        const [first] = [...worker.incarnation.runs.values()].filter(run => !isFiller(run));
        t.ok(first);
        if (first !== undefined) {
            harness.reportEnd(first, "failed");
        }
    }
    harness.clock.advance(50);
    harness.planAndStartAll();
    t.same([web.servingImages, api.servingImages], [["web"], ["api"]], "each worker keeps its serving image");
    t.end();
});

// Guards against a job that never starts because its fillers disturb the serving tasks on every worker.
t.test("load pattern: no worker lets fillers work at full speed", t => {
    const harness = SchedulerHarness.create();
    const worker = OscillatingWorker.create(harness, "w1");
    harness.submit(serving("web", 2));
    harness.planAndStartAll();
    advance(harness, [worker], PeriodMs);
    harness.submit(filler("heavy", 8));
    harness.planAndStartAll();
    advance(harness, [worker], PeriodMs);
    const large = harness.submit({
        ...filler("heavy", 2),
        resources: Resources.create({ processors: 8, memoryMb: 10 }),
    });
    t.same(harness.planStarts(), [], "it waits for a better worker first");
    harness.clock.advance(2_000);
    worker.list();
    t.same(
        harness.planStarts().map(run => run.task.step.occurrence.job.spec.id),
        [large.id],
        "one of its tasks starts",
    );
    t.end();
});
