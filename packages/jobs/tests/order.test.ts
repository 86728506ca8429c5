import t from "tap";
import { EndKind } from "../src/end-kind.js";
import { JobState } from "../src/job-state.js";
import type { StepSpec } from "../src/step-spec.js";
import { SchedulerHarness } from "./scheduler-harness.js";

// Guards against starting work that is already late before work that can still meet its target.
t.test("load pattern: more work than capacity, some of it already late", t => {
    const rig = SchedulerHarness.create();
    rig.addWorker("w1");
    const late = rig.submit({ count: 16 });
    rig.clock.advance(2_200);
    const fresh = rig.submit({ count: 16 });
    const runs = rig.planStarts();
    t.equal(runs.length, 16);
    t.ok(runs.every(run => run.task.step.occurrence.job.spec.id === fresh.id));
    t.not(runs[0]?.task.step.occurrence.job.spec.id, late.id);
    t.end();
});

// Guards against late work that is postponed until it has no value left.
t.test("load pattern: a stream of new work beside late work that is about to lose its value", t => {
    const rig = SchedulerHarness.create();
    rig.addWorker("w1");
    const late = rig.submit({ count: 16 });
    rig.clock.advance(6_400);
    rig.submit({ count: 16 });
    const runs = rig.planStarts();
    t.ok(runs.every(run => run.task.step.occurrence.job.spec.id === late.id));
    t.end();
});

// Guards against a preempted lasting task that stays unavailable because all freed capacity goes to short tasks that
// arrived later.
t.test("load pattern: a stream of short tasks takes all capacity while a lasting task waits", t => {
    const rig = SchedulerHarness.create();
    rig.addWorker("w1");
    rig.submit({ count: 16 });
    const running = rig.planAndStartAll();
    const lasting = rig.submit({ lasting: true, estimatedMs: 60_000 });
    t.same(rig.planStarts(), [], "no capacity");
    rig.clock.advance(2_000);
    rig.submit({ count: 4 });
    running.slice(0, 1).forEach(run => rig.reportEnd(run, EndKind.Done));
    t.same(
        rig.planStarts().map(run => run.task.step.occurrence.job.spec.id),
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
        const rig = SchedulerHarness.create();
        rig.addWorker("w1");
        const spec = rig.submit(...steps);
        const runs = rig.planAndStartAll();
        t.equal(runs.length, first, name);
        runs.slice(1).forEach(run => rig.reportEnd(run, EndKind.Done));
        t.same(rig.planStarts(), [], `${name}: one task is not done`);
        runs.slice(0, 1).forEach(run => rig.reportEnd(run, EndKind.Done));
        rig.planAndStartAll().forEach(run => rig.reportEnd(run, EndKind.Done));
        t.equal(rig.scheduler.jobs.get(spec.id)?.endState, JobState.Completed, name);
    }
    t.end();
});

// Guards against a job that continues after its allowed attempts, and against an attempt limit for lasting tasks.
t.test("a task fails permanently after its attempts; a lasting task is restarted whenever it ends", t => {
    for (const lasting of [false, true]) {
        const rig = SchedulerHarness.create();
        rig.addWorker("w1");
        rig.addWorker("w2");
        rig.addWorker("w3");
        const spec = rig.submit({ lasting });
        for (let attempt = 0; attempt < 2; attempt++) {
            rig.clock.advance(5_000);
            rig.planAndStartAll().forEach(run => rig.reportEnd(run, EndKind.Failed));
        }
        rig.clock.advance(5_000);
        t.equal(rig.planStarts().length, lasting ? 1 : 0);
        t.equal(rig.scheduler.jobs.get(spec.id)?.endState, lasting ? undefined : JobState.Failed);
    }
    t.end();
});

// Guards against more tasks of a step on one worker than its job allows, and against workers without its label.
t.test("anti-affinity and required labels restrict the choice of workers", t => {
    const rig = SchedulerHarness.create();
    rig.addWorker("w1");
    rig.addWorker("w2", { labels: ["b", "r1-2"], rack: "r1-2" });
    rig.submit({ count: 4, maxPerWorker: 1 });
    t.equal(rig.planAndStartAll().length, 2);
    rig.submit({ count: 2, requiredLabel: "b" });
    t.ok(rig.planAndStartAll().every(run => run.worker.entry.id === "w2"));
    rig.submit({ requiredLabel: "c" });
    t.same(rig.planStarts(), []);
    t.end();
});

// Guards against a gang of which some members occupy workers while waiting for the others.
t.test("the members of a gang start together with the same run number, or not at all", t => {
    const rig = SchedulerHarness.create();
    rig.addWorker("w1");
    rig.submit({ count: 17, gang: true });
    t.same(rig.planStarts(), [], "not enough capacity for all");
    rig.addWorker("w2");
    const runs = rig.planAndStartAll();
    t.equal(runs.length, 17);
    t.equal(new Set(runs.map(run => run.number)).size, 1);
    runs.slice(0, 1).forEach(run => rig.reportEnd(run, EndKind.Done));
    t.equal([...(runs[0]?.task.step.tasks ?? [])].filter(task => task.isDone).length, 17);
    t.end();
});

// Guards against starts on a worker that is about to leave, and against a scheduled job that starts early.
t.test("draining workers get no tasks, and occurrences start when they are due", t => {
    const rig = SchedulerHarness.create();
    rig.addWorker("w1", { isDraining: true });
    rig.submit({});
    t.same(rig.planStarts(), []);
    rig.addWorker("w2");
    t.equal(rig.planAndStartAll().length, 1);
    const firstAtMs = rig.clock.wallMs() + 1_000;
    rig.scheduler.addJob({ ...rig.makeJob({}), schedule: { occurrences: 2, firstAtMs, intervalMs: 500 } });
    t.same(rig.planStarts(), []);
    rig.clock.advance(1_000);
    t.equal(rig.planAndStartAll().length, 1);
    rig.clock.advance(500);
    t.equal(rig.planAndStartAll().length, 1);
    t.end();
});
