import { Resources } from "@samphireward/core/resources";
import t from "tap";
import { estimateEnd } from "../src/estimate-end.js";
import type { JobSpec } from "../src/job-spec.js";
import type { StepSpec } from "../src/step-spec.js";
import type { QueueBacklog } from "../src/queue-backlog.js";
import { plainStep } from "./fixtures/plain-step.js";
import { queueRule } from "./fixtures/queue-rule.js";
import { SchedulerHarness } from "./scheduler-harness.js";

/** Target time of a plain job: 2 x 1,000 + 500 ms, useful until 7,500 ms. */
const rule = queueRule("queue");
const plainJob = (step: Partial<StepSpec> = {}, job: Partial<JobSpec> = {}): JobSpec => ({
    id: "00000000000000ff",
    queue: rule.name,
    payload: "",
    steps: [{ ...plainStep, ...step }],
    schedule: undefined,
    arrivedAtMs: 0,
    ...job,
});
const idle: QueueBacklog = { processors: 10, firstMs: 0, byLatestStart: [] };

const cases: readonly [failure: string, spec: JobSpec, ahead: QueueBacklog, isUseful: boolean][] = [
    ["a refusal in an idle cell", plainJob(), idle, true],
    ["a job that waits behind ten times its useful time", plainJob(), { ...idle, firstMs: 750_000 }, false],
    ["a refusal that is right only if estimates are exact", plainJob(), { ...idle, firstMs: 90_000 }, true],
    [
        "a refusal because of work that starts later than the job",
        plainJob(),
        { ...idle, byLatestStart: [{ startByMs: 20_000, sumMs: 750_000 }] },
        true,
    ],
    [
        "a job that waits behind work whose latest start is earlier",
        plainJob(),
        { ...idle, byLatestStart: [{ startByMs: 100, sumMs: 750_000 }] },
        false,
    ],
    [
        "a refusal while no worker is known",
        plainJob(),
        { processors: 0, firstMs: 750_000, byLatestStart: [] },
        true,
    ],
    ["a refused lasting job", plainJob({ lasting: true }), { ...idle, firstMs: 750_000 }, true],
    [
        "a refused schedule",
        plainJob({}, { schedule: { occurrences: 2, firstAtMs: 0, intervalMs: 1_000 } }),
        { ...idle, firstMs: 750_000 },
        true,
    ],
    [
        "a job refused for ever because it is large, not because of the load",
        plainJob({ count: 1_000 }),
        { ...idle, firstMs: 750_000 },
        true,
    ],
];

// Guards against the failures that the table names: refused work that could be of use, and accepted work that cannot.
t.test("a result is of use if it can be there within three target times", t => {
    for (const [failure, spec, ahead, isUseful] of cases) {
        const estimate = estimateEnd(spec, rule, ahead, 0);
        t.equal(estimate.isUseful, isUseful, failure);
        t.equal(estimate.usefulInMs > 0, !isUseful, failure);
    }
    t.end();
});

// Guards against refusals by an owner that has just taken over, and against the refusal of a repeated job.
t.test("an owner estimates nothing until it has settled, and refuses no job that it knows", t => {
    const harness = SchedulerHarness.create();
    const { admission } = harness.scheduler;
    const estimate = (spec: JobSpec): boolean | undefined => admission.estimate(spec)?.isUseful;
    harness.scheduler.expectNoInheritedWorkers();
    harness.addWorker("w1", { capacity: Resources.create({ processors: 1, memoryMb: 64_000 }) });
    const known = harness.submit({ count: 500 });
    const other = harness.makeJob({ resources: Resources.create({ processors: 1, memoryMb: 100 }) });
    t.equal(estimate(other), undefined);
    harness.clock.advance(5_000);
    const late = harness.submit({ count: 500, estimatedMs: 900 });
    t.equal(estimate({ ...other, arrivedAtMs: harness.clock.wallMs() }), false);
    // Guards also against repeats after which the queue's other jobs are accepted without a question.
    t.match(admission.estimate(known), { isUseful: true, isScarce: true, usefulInMs: 0 });
    t.match(admission.estimate(late), { isUseful: true, isScarce: true, usefulInMs: 0 });
    t.equal(estimate({ ...other, queue: "unknown" }), undefined);
    t.end();
});

// Guards against refusals while links to workers are lost for a moment, and against the capacity of lost workers that counts
// for ever.
t.test("workers that do not answer count until their lease ends", t => {
    const harness = SchedulerHarness.create();
    const { admission } = harness.scheduler;
    harness.scheduler.expectNoInheritedWorkers();
    const capacity = Resources.create({ processors: 16, memoryMb: 64_000 });
    const workers = Array.from({ length: 10 }, (_, index) => harness.addWorker(`w${index}`, { capacity }));
    harness.clock.advance(6_000);
    for (let jobs = 0; jobs < 5; jobs++) {
        harness.submit({ count: 200, resources: Resources.create({ processors: 1, memoryMb: 1 }) });
    }
    harness.planAndStartAll();
    const leaseEndsAtMs = harness.clock.nowMs() + 1_000;
    workers.forEach((worker, index) => {
        worker.leaseEndsAtMs = leaseEndsAtMs;
        worker.isReachable = index === 0;
    });
    const spec = harness.makeJob({});
    const isUseful = (): boolean | undefined =>
        admission.estimate({ ...spec, arrivedAtMs: harness.clock.wallMs() })?.isUseful;
    harness.clock.advance(500);
    t.equal(isUseful(), true);
    harness.clock.advance(1_000);
    t.equal(isUseful(), false);
    t.end();
});
