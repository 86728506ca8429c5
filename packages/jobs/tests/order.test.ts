import { Resources } from "@samphireward/core/resources";
import t from "tap";
import { EndKind } from "../src/end-kind.js";
import type { JobProgress } from "../src/job-progress.js";
import { JobState } from "../src/job-state.js";
import type { QueueRule } from "../src/queue-rule.js";
import { readProgress } from "../src/read-progress.js";
import type { Run } from "../src/run.js";
import type { StepSpec } from "../src/step-spec.js";
import type { WorkerIncarnation } from "../src/worker-incarnation.js";
import { queueRule } from "./fixtures/queue-rule.js";
import { SchedulerHarness } from "./scheduler-harness.js";

// Guards against starting work that is already late before work that can still meet its target.
t.test("load pattern: more work than capacity, some of it already late", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w1");
    const late = harness.submit({ count: 16 });
    harness.clock.advance(2_200);
    const fresh = harness.submit({ count: 16 });
    const runs = harness.planStarts();
    t.equal(runs.length, 16);
    t.ok(runs.every(run => run.task.step.occurrence.job.spec.id === fresh.id));
    t.not(runs[0]?.task.step.occurrence.job.spec.id, late.id);
    t.end();
});

// Guards against late work that is postponed until it has no value left.
t.test("load pattern: a stream of new work beside late work that is about to lose its value", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w1");
    const late = harness.submit({ count: 16 });
    harness.clock.advance(6_400);
    harness.submit({ count: 16 });
    const runs = harness.planStarts();
    t.ok(runs.every(run => run.task.step.occurrence.job.spec.id === late.id));
    t.end();
});

// Guards against a preempted lasting task that stays unavailable because all freed capacity goes to short tasks that
// arrived later.
t.test("load pattern: a stream of short tasks takes all capacity while a lasting task waits", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w1");
    harness.submit({ count: 16 });
    const running = harness.planAndStartAll();
    const lasting = harness.submit({ lasting: true, estimatedMs: 60_000 });
    t.same(harness.planStarts(), [], "no capacity");
    harness.clock.advance(2_000);
    harness.submit({ count: 4 });
    running.slice(0, 1).forEach(run => harness.reportEnd(run, EndKind.Done));
    t.same(
        harness.planStarts().map(run => run.task.step.occurrence.job.spec.id),
        [lasting.id],
    );
    t.end();
});

const cases: { name: string; steps: Partial<StepSpec>[]; first: number; failing?: boolean }[] = [
    { name: "consecutive steps", steps: [{ count: 2 }, { after: [0] }], first: 2 },
    { name: "independent steps", steps: [{ count: 2 }, {}], first: 3 },
    { name: "a step after two others", steps: [{}, {}, { after: [0, 1] }], first: 2 },
];

// Guards against a task that starts before its prerequisites are done, or never starts.
t.test("steps start in the order of their dependencies", t => {
    for (const { name, steps, first } of cases) {
        const harness = SchedulerHarness.create();
        harness.addWorker("w1");
        const spec = harness.submit(...steps);
        const runs = harness.planAndStartAll();
        t.equal(runs.length, first, name);
        runs.slice(1).forEach(run => harness.reportEnd(run, EndKind.Done));
        t.same(harness.planStarts(), [], `${name}: one task is not done`);
        runs.slice(0, 1).forEach(run => harness.reportEnd(run, EndKind.Done));
        harness.planAndStartAll().forEach(run => harness.reportEnd(run, EndKind.Done));
        t.equal(harness.scheduler.jobs.get(spec.id)?.endState, JobState.Completed, name);
    }
    t.end();
});

// Guards against a job that continues after its allowed attempts, and against an attempt limit for lasting tasks.
t.test("a task fails permanently after its attempts; a lasting task is restarted whenever it ends", t => {
    for (const lasting of [false, true]) {
        const harness = SchedulerHarness.create();
        harness.addWorker("w1");
        harness.addWorker("w2");
        harness.addWorker("w3");
        const spec = harness.submit({ lasting });
        for (let attempt = 0; attempt < 2; attempt++) {
            harness.clock.advance(5_000);
            harness.planAndStartAll().forEach(run => harness.reportEnd(run, EndKind.Failed));
        }
        harness.clock.advance(5_000);
        t.equal(harness.planStarts().length, lasting ? 1 : 0);
        t.equal(harness.scheduler.jobs.get(spec.id)?.endState, lasting ? undefined : JobState.Failed);
    }
    t.end();
});

// Guards against one start more than a queue allows: a failure that was counted while the route was away, before the first
// configuration was read, or under a higher limit was never compared with the limit again.
t.test("the attempts of a task are compared with the limit again when the rules change", t => {
    const rule = queueRule("queue");
    const otherRules: readonly (readonly QueueRule[])[] = [[], [{ ...rule, maxAttempts: 3 }]];
    for (const rules of otherRules) {
        const harness = SchedulerHarness.create();
        ["w1", "w2", "w3"].forEach(id => harness.addWorker(id));
        const spec = harness.submit({});
        harness.planAndStartAll().forEach(run => harness.reportEnd(run, EndKind.Failed));
        harness.clock.advance(5_000);
        const runs = harness.planAndStartAll();
        harness.scheduler.setQueues(rules);
        runs.forEach(run => harness.reportEnd(run, EndKind.Failed));
        harness.clock.advance(5_000);
        t.equal(harness.scheduler.jobs.get(spec.id)?.endState, undefined);
        const job = harness.scheduler.jobs.get(spec.id);
        const next = SchedulerHarness.create(2);
        next.inherit(spec, job && readProgress(job));
        t.equal(next.scheduler.jobs.get(spec.id)?.endState, JobState.Failed, "the next owner has the rule");
        harness.scheduler.setQueues([rule]);
        t.equal(job?.endState, JobState.Failed);
        t.same(harness.planStarts(), []);
    }
    t.end();
});

// Guards against more tasks of a step on one worker than its job allows, and against workers without its label.
t.test("anti-affinity and required labels restrict the choice of workers", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w1");
    harness.addWorker("w2", { labels: ["b", "r1-2"], rack: "r1-2" });
    harness.submit({ count: 4, maxPerWorker: 1 });
    t.equal(harness.planAndStartAll().length, 2);
    harness.submit({ count: 2, requiredLabel: "b" });
    t.ok(harness.planAndStartAll().every(run => run.worker.entry.id === "w2"));
    harness.submit({ requiredLabel: "c" });
    t.same(harness.planStarts(), []);
    t.end();
});

// Guards against a gang of which some members occupy workers while waiting for the others.
t.test("the members of a gang start together with the same run number, or not at all", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w1");
    harness.submit({ count: 17, gang: true });
    t.same(harness.planStarts(), [], "not enough capacity for all");
    harness.addWorker("w2");
    const runs = harness.planAndStartAll();
    t.equal(runs.length, 17);
    t.equal(new Set(runs.map(run => run.number)).size, 1);
    runs.slice(0, 1).forEach(run => harness.reportEnd(run, EndKind.Done));
    t.equal([...(runs[0]?.task.step.tasks ?? [])].filter(task => task.isDone).length, 17);
    t.end();
});

// Guards against a gang that never comes together again after a crash: each member started with the checkpoint of its own last
// run, and workers refuse members with different ones.
t.test("the members of a gang start with the same checkpoint", t => {
    const harness = SchedulerHarness.create();
    const [first, second] = ["w1", "w2"].map(id => harness.addWorker(id));
    const large = Resources.create({ processors: 10, memoryMb: 100 });
    const spec = harness.submit({ count: 2, gang: true, checkpoints: true, resources: large });
    const runs = harness.planAndStartAll();
    const runOn = (worker: WorkerIncarnation | undefined): Run | undefined =>
        runs.find(run => run.worker === worker);
    const lost = runOn(first);
    const broken = runOn(second);
    t.ok(lost && broken && second);
    if (lost === undefined || broken === undefined || second === undefined) {
        t.end();
        return;
    }
    harness.clock.advance(1);
    harness.reportListing(lost.worker, [{ ...SchedulerHarness.listedRun(lost), checkpoint: "1" }], []);
    harness.reportEnd(broken, EndKind.GangBroken, "2");
    harness.addWorker("w1", { startedAtMs: 2 });
    const job = harness.scheduler.jobs.get(spec.id);
    t.strictSame(
        [...(job?.tasks() ?? [])].map(({ checkpoint }) => checkpoint),
        ["2", "2"],
    );
    const stored = job && readProgress(job);
    const differing = JSON.parse(
        JSON.stringify(stored).replace('"checkpoint":"2"', '"checkpoint":"1"'),
    ) as JobProgress;
    const next = SchedulerHarness.create(2);
    next.inherit(spec, differing);
    ["w1", "w2"].forEach(id => next.addWorker(id));
    t.strictSame(
        next.planStarts().map(({ task }) => task.checkpoint),
        ["1", "1"],
    );
    t.end();
});

// Guards against starts on a worker that is about to leave, and against a scheduled job that starts early.
t.test("draining workers get no tasks, and occurrences start when they are due", t => {
    const harness = SchedulerHarness.create();
    harness.addWorker("w1", { isDraining: true });
    harness.submit({});
    t.same(harness.planStarts(), []);
    harness.addWorker("w2");
    t.equal(harness.planAndStartAll().length, 1);
    const firstAtMs = harness.clock.wallMs() + 1_000;
    harness.scheduler.addJob({
        ...harness.makeJob({}),
        schedule: { occurrences: 2, firstAtMs, intervalMs: 500 },
    });
    t.same(harness.planStarts(), []);
    harness.clock.advance(1_000);
    t.equal(harness.planAndStartAll().length, 1);
    harness.clock.advance(500);
    t.equal(harness.planAndStartAll().length, 1);
    t.end();
});
