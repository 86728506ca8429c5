import type { JobSchedule } from "./job-schedule.js";
import type { JobSpec } from "./job-spec.js";
import { openTaskLimits } from "./open-task-limits.js";
import type { StepSpec } from "./step-spec.js";
import { taskCount } from "./task-count.js";

/** Limits for a job; a job that exceeds one is refused and never stored. */
const MaxPayloadBytes = 4_000;
const MaxSteps = 64;
const MaxTasksPerStep = 1_000;
const MaxOccurrences = 10_000;
const MaxEstimateMs = 24 * 60 * 60_000;
const IdPattern = /^[0-9a-f]{16}$/i;

const isCount = (value: number, max: number): boolean =>
    Number.isInteger(value) && value >= 0 && value <= max;

const checkStep = (step: StepSpec, number: number): string | undefined => {
    const { processors, memoryMb, accelerators } = step.resources;
    if (!isCount(step.count, MaxTasksPerStep) || step.count === 0) {
        return `step ${number}: the count is not between 1 and ${MaxTasksPerStep}`;
    }
    if (![processors, memoryMb, accelerators].every(amount => Number.isFinite(amount) && amount >= 0)) {
        return `step ${number}: the resources are not amounts of 0 or more`;
    }
    if (!Number.isFinite(step.estimatedMs) || step.estimatedMs < 0 || step.estimatedMs > MaxEstimateMs) {
        return `step ${number}: the estimate is not between 0 and ${MaxEstimateMs} ms`;
    }
    const { maxPerWorker = 1, maxUnavailable = 0, tailTargetMs } = step;
    if (!isCount(maxPerWorker, Infinity) || maxPerWorker === 0) {
        return `step ${number}: the maximum per worker is not a number of 1 or more`;
    }
    if (!isCount(maxUnavailable, Infinity)) {
        return `step ${number}: the number of tasks that may be unavailable is not a number of 0 or more`;
    }
    if (!Number.isFinite(tailTargetMs) || tailTargetMs < 0) {
        return `step ${number}: the target is not 0 ms or more`;
    }
    if (step.after.length > MaxSteps) {
        return `step ${number}: it depends on more than ${MaxSteps} steps`;
    }
    // A step may depend on earlier steps only, which rules out dependency cycles.
    const invalidStep = step.after.find(other => !isCount(other, number - 1));
    return invalidStep === undefined ? undefined : `step ${number}: ${invalidStep} is not an earlier step`;
};

const checkSchedule = (schedule: JobSchedule | undefined): string | undefined => {
    if (schedule === undefined) {
        return undefined;
    }
    const { occurrences, firstAtMs, intervalMs } = schedule;
    if (!isCount(occurrences, MaxOccurrences)) {
        return `the schedule does not have between 1 and ${MaxOccurrences} occurrences`;
    }
    if (!Number.isFinite(firstAtMs)) {
        return "the schedule has no first time";
    }
    // The time of each occurrence is computed from both, so an interval that is no number makes it never due.
    return Number.isFinite(intervalMs) && intervalMs >= 0
        ? undefined
        : "the schedule has no interval of 0 ms or more";
};

/** Returns the reason to refuse a submitted job; undefined if it is valid. */
export const checkJob = (spec: JobSpec): string | undefined => {
    if (!IdPattern.test(spec.id)) {
        return "the id is not 16 hexadecimal digits";
    }
    if (Buffer.byteLength(spec.payload) > MaxPayloadBytes) {
        return `the payload exceeds ${MaxPayloadBytes} bytes`;
    }
    if (spec.steps.length === 0 || spec.steps.length > MaxSteps) {
        return `the number of steps is not between 1 and ${MaxSteps}`;
    }
    const scheduleProblem = checkSchedule(spec.schedule);
    if (scheduleProblem !== undefined) {
        return scheduleProblem;
    }
    for (const [number, step] of spec.steps.entries()) {
        const problem = checkStep(step, number);
        if (problem !== undefined) {
            return problem;
        }
    }
    const tasks = taskCount(spec);
    return tasks > openTaskLimits.perJob
        ? `the steps have ${tasks} tasks, more than ${openTaskLimits.perJob}`
        : undefined;
};
