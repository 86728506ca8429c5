import { CrashEvidence } from "@samphireward/core/crash-evidence";
import t from "tap";
import { crashFailureOf } from "../src/crash-failure-of.js";
import { CrashProof } from "../src/crash-proof.js";
import { EndKind } from "../src/end-kind.js";
import { queueRule } from "./fixtures/queue-rule.js";
import { readProgress } from "../src/read-progress.js";
import type { Task } from "../src/task.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const sameAge = { minAgeMs: 100, maxAgeMs: 150, lossRatePerMs: 0, sharedLossProbability: 0.1 };
const otherAge = { ...sameAge, minAgeMs: 2_000, maxAgeMs: 2_100 };

const createTask = (): Task => {
    const harness = SchedulerHarness.create();
    const { id } = harness.submit({ count: 4 });
    const task = harness.scheduler.jobs.get(id)?.findTask(0, 0, 3);
    if (task === undefined) {
        throw new Error("expected a task");
    }
    return task;
};

const addCrashes = (task: Task, crash: typeof sameAge, ...workers: readonly string[]): void => {
    for (const worker of workers) {
        task.crashes.add(worker, "", crash);
        task.crashes.prove(worker);
    }
};

// Guards against operators who cannot tell which limit a failed job has reached, or which of its tasks.
t.test("a job whose task failed too often names the task, the limit and its configuration", t => {
    const harness = SchedulerHarness.create();
    harness.scheduler.setQueues([queueRule("queue")], 9);
    ["w1", "w2"].forEach(id => harness.addWorker(id));
    const spec = harness.submit({});
    for (let attempt = 0; attempt < 2; attempt++) {
        harness.planAndStartAll().forEach(run => harness.reportEnd(run, EndKind.Failed));
        harness.clock.advance(5_000);
    }
    const job = harness.scheduler.jobs.get(spec.id);
    const failure = { cause: "attempts", task: "0.0.0", failedRuns: 2, limit: 2, configVersion: 9 } as const;
    t.strictSame(job?.failure, failure);
    t.strictSame(job?.status, { state: "running" }, "the end is not durable");
    const next = SchedulerHarness.create(2);
    next.inherit(spec, job && readProgress(job));
    t.strictSame(next.scheduler.jobs.get(spec.id)?.status, { state: "failed", failure });
    t.end();
});

// Guards against a rule whose version is not known, which must not be taken for that of another configuration.
t.test("the limit of rules without a version names no configuration", t => {
    const harness = SchedulerHarness.create();
    harness.scheduler.setQueues([queueRule("queue")], 9);
    harness.scheduler.setQueues([{ ...queueRule("queue"), maxAttempts: 1 }]);
    harness.addWorker("w1");
    const spec = harness.submit({});
    harness.planAndStartAll().forEach(run => harness.reportEnd(run, EndKind.Failed));
    const failure = { cause: "attempts", task: "0.0.0", failedRuns: 1, limit: 1 };
    t.strictSame(harness.scheduler.jobs.get(spec.id)?.failure, failure);
    t.end();
});

// Guards against a job that is given up without a trace of the crashes that were the reason.
t.test("the failure by crashes names the workers, and counts those that a previous owner stored", t => {
    const task = createTask();
    task.crashes.inherit(CrashEvidence.create({ count: 2, minAgeMs: 100, maxAgeMs: 150, chance: 0.1 }));
    task.crashes.add("w1/1", "", sameAge);
    task.crashes.prove("w1/1", CrashProof.Inherited);
    addCrashes(task, sameAge, "w2/2");
    task.crashes.add("w3/3", "", sameAge);
    t.strictSame(crashFailureOf(task), {
        cause: "worker-crashes",
        task: "0.0.3",
        crashedWorkers: [
            { worker: "w1/1", proof: "inherited" },
            { worker: "w2/2", proof: "replaced" },
        ],
        inheritedCrashes: 2,
    });
    t.end();
});

// Guards against workers that are blamed on a task although their crashes at another age did not count.
t.test("the failure by crashes leaves out those that a crash at another age has replaced", t => {
    const task = createTask();
    task.crashes.inherit(CrashEvidence.create({ count: 2, minAgeMs: 2_000, maxAgeMs: 2_100, chance: 0.1 }));
    addCrashes(task, otherAge, "w1/1");
    addCrashes(task, sameAge, "w2/2", "w3/3", "w4/4");
    const { crashedWorkers, inheritedCrashes } = crashFailureOf(task);
    t.strictSame(
        crashedWorkers?.map(({ worker }) => worker),
        ["w2/2", "w3/3", "w4/4"],
    );
    t.equal(inheritedCrashes, 0);
    t.end();
});

// Guards against progress that grows without a bound because a task has crashed many workers.
t.test("the failure by crashes names at most the latest eight workers", t => {
    const task = createTask();
    const workers = Array.from({ length: 20 }, (_, index) => `w${index}/1`);
    addCrashes(task, sameAge, ...workers);
    t.strictSame(
        crashFailureOf(task).crashedWorkers?.map(({ worker }) => worker),
        workers.slice(-8),
    );
    t.end();
});

// Guards against a crash that is shown as one of a replaced worker, although only a previous owner had noted it.
t.test("a job that the next owner gives up names the worker that the previous one had stored", t => {
    const harness = SchedulerHarness.create(2);
    const spec = harness.makeJob({});
    const crashes = { count: 3, minAgeMs: 100, maxAgeMs: 150, chance: 0.1 };
    const mark = { index: 0, failedRuns: [], lastRun: 4, checkpoint: "", suspicion: 2, crashes };
    harness.inherit(spec, {
        endState: undefined,
        endedAtMs: 0,
        hasStarted: true,
        nextOccurrence: 1,
        open: [{ number: 0, steps: [{ doneBits: "0", marks: [{ ...mark, suspectWorker: "w1/1" }] }] }],
    });
    harness.addWorker("w2");
    harness.planOrders();
    harness.clock.advance(SchedulerHarness.inheritedLeaseDurationMs);
    harness.planOrders();
    t.strictSame(harness.scheduler.jobs.get(spec.id)?.failure, {
        cause: "worker-crashes",
        task: "0.0.0",
        crashedWorkers: [{ worker: "w1/1", proof: "inherited" }],
        inheritedCrashes: 3,
    });
    t.end();
});
