import t from "tap";
import { checkJob } from "../src/check-job.js";
import type { JobSpec } from "../src/job-spec.js";
import { plainStep } from "./fixtures/plain-step.js";

const job: JobSpec = {
    id: "00000000000000aa",
    queue: "queue",
    payload: "",
    steps: [plainStep],
    schedule: undefined,
    arrivedAtMs: 0,
};
const schedule = { occurrences: 3, firstAtMs: 1_000, intervalMs: 500 };
const steps = (number: number, count: number): JobSpec["steps"] =>
    Array<JobSpec["steps"][number]>(number).fill({ ...plainStep, count });

const valid: Readonly<Record<string, Partial<JobSpec>>> = {
    "one task": {},
    "the largest jobs of the operators": { steps: steps(64, 80) },
    "twice their tasks": { steps: steps(64, 160) },
    "10,000 occurrences that are due at once": {
        schedule: { occurrences: 10_000, firstAtMs: 1, intervalMs: 0 },
    },
    "a step after every other one": {
        steps: [...steps(63, 1), { ...plainStep, after: [...Array(63).keys()] }],
    },
};

const invalid: Readonly<Record<string, Partial<JobSpec>>> = {
    "one task too many": { steps: [...steps(10, 1_000), { ...plainStep, count: 241 }] },
    "64,000 tasks": { steps: steps(64, 1_000) },
    "no steps": { steps: [] },
    "a fraction of a task": { steps: steps(1, 1.5) },
    "an estimate that is no number": { steps: [{ ...plainStep, estimatedMs: NaN }] },
    "too many dependencies": { steps: [plainStep, { ...plainStep, after: Array<number>(65).fill(0) }] },
    "a first time that is no number": { schedule: { ...schedule, firstAtMs: NaN } },
    "an interval that is no number": { schedule: { ...schedule, intervalMs: NaN } },
    "an infinite interval": { schedule: { ...schedule, intervalMs: Infinity } },
    "a negative interval": { schedule: { ...schedule, intervalMs: -1 } },
    "a maximum per worker below 1": { steps: [{ ...plainStep, maxPerWorker: -1 }] },
    "a fraction of a task per worker": { steps: [{ ...plainStep, maxPerWorker: 0.5 }] },
    "a negative number of tasks that may be unavailable": { steps: [{ ...plainStep, maxUnavailable: -1 }] },
    "a negative target": { steps: [{ ...plainStep, tailTargetMs: -1 }] },
};

// Guards against a job that is accepted and then takes all memory of its owner or can never start, and against a limit
// that refuses the operators' jobs.
t.test("jobs are accepted within the limits and refused beyond them", t => {
    for (const [name, fields] of Object.entries(valid)) {
        t.equal(checkJob({ ...job, ...fields }), undefined, name);
    }
    for (const [name, fields] of Object.entries(invalid)) {
        t.type(checkJob({ ...job, ...fields }), "string", name);
    }
    t.end();
});
