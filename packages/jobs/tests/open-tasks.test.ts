import { Resources } from "@samphireward/core/resources";
import t from "tap";
import type { JobSpec } from "../src/job-spec.js";
import { openTaskLimits } from "../src/open-task-limits.js";
import type { StepSpec } from "../src/step-spec.js";
import { queueRule } from "./fixtures/queue-rule.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const StepTasks = 100;

/** A job whose occurrences are all due at once. */
const scheduleOf = (harness: SchedulerHarness, occurrences: number, queue = "queue"): JobSpec => ({
    ...harness.makeJob({ count: StepTasks }),
    queue,
    schedule: { occurrences, firstAtMs: 0, intervalMs: 0 },
});

const openCount = (harness: SchedulerHarness, spec: JobSpec): number =>
    [...(harness.scheduler.jobs.get(spec.id)?.tasks() ?? [])].length;

// Guards against a job that takes all memory of its owner: a schedule whose occurrences are all due at the same time.
t.test("a job has a bounded number of open tasks, and each of its occurrences runs", t => {
    const harness = SchedulerHarness.create();
    const occurrences = 200;
    const spec = scheduleOf(harness, occurrences);
    harness.scheduler.addJob(spec);
    harness.scheduler.plan();
    t.equal(openCount(harness, spec), openTaskLimits.perJob - (openTaskLimits.perJob % StepTasks));
    const job = harness.scheduler.jobs.get(spec.id);
    for (let number = 0; number < occurrences; number++) {
        t.equal(job?.openOccurrences.has(number), true, `occurrence ${number}`);
        job?.openOccurrences.get(number)?.steps.forEach(step => step.tasks.forEach(task => task.markDone()));
        if (job !== undefined) {
            harness.scheduler.jobs.closeDoneOccurrences(job, 0);
        }
        harness.scheduler.plan();
    }
    t.equal(job?.endState, "completed");
    t.end();
});

// Guards against an owner whose memory is used up by many jobs, and against a flooded queue that keeps all others from
// their turn.
t.test("the open tasks of an owner are bounded, and another queue finds room", t => {
    const harness = SchedulerHarness.create();
    harness.scheduler.setQueues([queueRule("queue"), queueRule("other")]);
    const flood = Array.from({ length: 40 }, () => scheduleOf(harness, 1_000));
    flood.forEach(spec => harness.scheduler.addJob(spec));
    harness.scheduler.plan();
    const flooded = flood.reduce((sum, spec) => sum + openCount(harness, spec), 0);
    t.equal(flooded, openTaskLimits.perOwner / 2, "one queue has half of the bound");
    const late = scheduleOf(harness, 20, "other");
    harness.scheduler.addJob(late);
    harness.scheduler.plan();
    t.equal(openCount(harness, late), 20 * StepTasks, "the other queue's job is open");
    flood.forEach(({ id }) => harness.scheduler.cancelJob(id));
    const next = scheduleOf(harness, 1);
    harness.scheduler.addJob(next);
    harness.scheduler.plan();
    t.equal(openCount(harness, next), StepTasks, "the tasks of cancelled jobs are no longer counted");
    t.end();
});

// Guards against jobs of a queue that are passed by later ones until the queue is empty.
t.test("the jobs of a full queue are opened in the order of their arrival", t => {
    const harness = SchedulerHarness.create();
    const first = Array.from({ length: 3 }, () => scheduleOf(harness, 1_000));
    const large = harness.makeJob(...Array.from({ length: 10 }, () => ({ count: 1_000 })));
    const small = scheduleOf(harness, 1);
    [...first, large, small].forEach(spec => harness.scheduler.addJob(spec));
    harness.scheduler.plan();
    t.equal(openCount(harness, large), 0);
    t.equal(openCount(harness, small), 0, "a later job waits behind the large one");
    first.forEach(({ id }) => harness.scheduler.cancelJob(id));
    harness.scheduler.plan();
    t.equal(openCount(harness, large), 10_000);
    t.equal(openCount(harness, small), StepTasks);
    t.end();
});

// Guards against a worker whose listing makes its owner open all occurrences of a schedule.
t.test("a listed run of an occurrence that no owner can have opened opens nothing", t => {
    const harness = SchedulerHarness.create();
    const spec = scheduleOf(harness, 10_000);
    harness.scheduler.addJob(spec);
    harness.scheduler.plan();
    const before = openCount(harness, spec);
    t.equal(harness.scheduler.jobs.findListedTask(`${spec.id}.9999.0.0`), undefined);
    t.equal(openCount(harness, spec), before);
    t.ok(harness.scheduler.jobs.findListedTask(`${spec.id}.150.0.0`), "one that is near is opened");
    t.end();
});

/** Five steps of 1,000 tasks, of which `first` and the others differ in what no worker has. */
const largeJob = (harness: SchedulerHarness, first: Partial<StepSpec>, others: Partial<StepSpec>): JobSpec =>
    harness.makeJob(
        { count: 1_000, ...first },
        ...Array.from({ length: 4 }, () => ({ count: 1_000, after: [0], ...others })),
    );

const impossible: [name: string, first: Partial<StepSpec>, others: Partial<StepSpec>][] = [
    ["a label", { requiredLabel: "absent" }, {}],
    ["more processors", { resources: Resources.create({ processors: 1_000, memoryMb: 1 }) }, {}],
    ["a label in every step", { requiredLabel: "absent" }, { requiredLabel: "absent", after: [] }],
];

// Guards against jobs that can never be done and keep all later jobs of their queue from their turn for good.
for (const [name, first, others] of impossible) {
    t.test(`jobs that ask for ${name} no worker has do not keep later jobs of a full queue waiting`, t => {
        const harness = SchedulerHarness.create();
        harness.addWorker("w");
        const stuck = Array.from({ length: 12 }, () => largeJob(harness, first, others));
        const sound = Array.from({ length: 40 }, () => harness.makeJob({ count: 4 }));
        [...stuck, ...sound].forEach(spec => harness.scheduler.addJob(spec));
        harness.scheduler.plan();
        const stuckCount = stuck.reduce((sum, spec) => sum + openCount(harness, spec), 0);
        t.equal(stuckCount, openTaskLimits.perOwner / 2, "they have the queue's bound, and no more");
        for (const spec of sound) {
            t.equal(openCount(harness, spec), 4, `${spec.id} is open`);
        }
        t.equal(
            harness.scheduler.explainPlacement(harness.makeJob({ count: 4 }))?.outcome === "not-open",
            false,
        );
        t.equal(harness.scheduler.explainPlacement(largeJob(harness, first, others))?.outcome, "not-open");
        t.end();
    });
}

// Guards against an owner whose memory is used up while jobs pass those that no worker could run.
t.test("the open tasks beside those that no worker could run are bounded, and their order is kept", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w");
    const stuck = Array.from({ length: 5 }, () => largeJob(harness, { requiredLabel: "absent" }, {}));
    const large = Array.from({ length: 12 }, () => largeJob(harness, {}, {}));
    const small = harness.makeJob({ count: 4 });
    [...stuck, ...large, small].forEach(spec => harness.scheduler.addJob(spec));
    harness.scheduler.plan();
    const counts = large.map(spec => openCount(harness, spec));
    t.strictSame(counts, [...Array<number>(5).fill(5_000), ...Array<number>(7).fill(0)]);
    t.equal(openCount(harness, small), 0, "a later job waits behind the large ones");
    harness.addWorker("able", { labels: ["absent"] });
    harness.scheduler.cancelJob(large[0]?.id ?? "");
    harness.scheduler.plan();
    t.equal(openCount(harness, large[5] ?? small), 0, "tasks count again once there is a worker for them");
    t.end();
});
