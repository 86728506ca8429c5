import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { ManualClock } from "@samphireward/core/manual-clock";
import { Resources } from "@samphireward/core/resources";
import { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import type { JobSpec } from "@samphireward/jobs/job-spec";
import type { StepSpec } from "@samphireward/jobs/step-spec";

const Limits = { leaseMs: 4_500, maxLeaseMs: 6_000, stopMs: 200, lateOrderMs: 12_000 };
const PayloadBytes = 100;

setFlagsFromString("--expose_gc");
const collectGarbage = runInNewContext("gc") as () => void;

const heapBytes = (): number => {
    collectGarbage();
    return process.memoryUsage().heapUsed;
};

const makeStep = (count: number): StepSpec => ({
    count,
    resources: Resources.create({ processors: 1, memoryMb: 100 }),
    estimatedMs: 1_000,
    after: [],
    checkpoints: false,
    gang: false,
    sameRack: false,
    requiredLabel: undefined,
    preferredRack: undefined,
    maxPerWorker: undefined,
    speculative: false,
    lasting: false,
    image: "",
    tailTargetMs: 0,
    filler: false,
    maxUnavailable: undefined,
});

let jobsMade = 0;

const makeJob = (stepCount: number, tasksPerStep: number, firstAtMs = 0): JobSpec => ({
    id: (jobsMade++).toString(16).padStart(16, "0"),
    queue: `queue-${jobsMade % 50}`,
    payload: "x".repeat(PayloadBytes),
    steps: Array.from({ length: stepCount }, () => makeStep(tasksPerStep)),
    schedule: { occurrences: 1, firstAtMs, intervalMs: 0 },
    arrivedAtMs: 0,
});

/** Measures the memory of jobs in a scheduler without workers, after a plan. */
const measure = (jobCount: number, stepCount: number, tasksPerStep: number, firstAtMs = 0): void => {
    const scheduler = CellScheduler.create(1, ManualClock.create(1_000), Limits);
    const before = heapBytes();
    for (let job = 0; job < jobCount; job++) {
        scheduler.addJob(makeJob(stepCount, tasksPerStep, firstAtMs));
    }
    scheduler.plan();
    const bytes = heapBytes() - before;
    const openTasks = [...scheduler.jobs.undecided].reduce((sum, job) => sum + [...job.tasks()].length, 0);
    const result = {
        jobs: jobCount,
        stepsPerJob: stepCount,
        openTasks,
        kbPerJob: Number((bytes / jobCount / 1024).toFixed(2)),
        kbPerOpenTask: openTasks === 0 ? undefined : Number((bytes / openTasks / 1024).toFixed(2)),
    };
    process.stdout.write(`${JSON.stringify(result)}\n`);
};

/** Prints one JSON line for each measurement: first by open tasks, then by jobs that are not due yet. */
const main = (): void => {
    for (const jobCount of [10, 100, 400]) {
        measure(jobCount, 1, 100);
    }
    for (const jobCount of [100, 1_000, 10_000]) {
        measure(jobCount, 1, 100, 1e12);
    }
    measure(1_000, 64, 80, 1e12);
};

main();
