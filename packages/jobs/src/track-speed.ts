import type { ListedRun } from "./listed-run.js";
import type { Run } from "./run.js";
import type { Step } from "./step.js";

/** Shortest time between two readings of a run's progress. */
const MinSampleMs = 350;
/** Time over which a worker's speed is averaged. */
const AverageMs = 1_500;
/** A filler that uses less than this share of its request tells nothing of its worker's speed. */
const LeastFillerUse = 0.1;
const MillicoresPerCore = 1_000;
/** A single run counts as at most this much faster than its step. */
const MaxSpeed = 1.5;
const StepWeight = 0.15;
/** A task that makes less progress than this, against its estimate, stands still. */
const StandstillSpeed = 0.03;

/** Speed of a run since its last reading, against its estimate; undefined while there is nothing to tell. */
const sampleSpeed = (run: Run, row: ListedRun, elapsedMs: number): number | undefined => {
    const { spec } = run.task.step;
    const doneMs = ((row.progressPercent - run.progressPercent) / 100) * spec.estimatedMs;
    if (!spec.filler) {
        return doneMs / elapsedMs;
    }
    const share = row.gauge / MillicoresPerCore / Math.max(spec.resources.processors, 0.001);
    return share < LeastFillerUse ? undefined : doneMs / (elapsedMs * share);
};

/** Speed against the mean of the step's tasks: estimates are off by up to a factor of two, tasks of a step are alike. */
const relativeSpeed = (step: Step, speed: number): number => {
    if (speed < StandstillSpeed) {
        return 0;
    }
    const mean = step.meanRelativeSpeed ?? speed;
    step.meanRelativeSpeed = mean + (speed - mean) * StepWeight;
    return speed / mean;
};

/** Takes the progress that a worker has just listed for a run into the record of the worker's speed. */
export const trackSpeed = (run: Run, row: ListedRun, nowMs: number): void => {
    const { worker: life, task } = run;
    if (task.step.spec.lasting || row.progressPercent >= 100 || run.sampledAtMs === 0) {
        run.sampledAtMs = nowMs;
        run.progressPercent = row.progressPercent;
        return;
    }
    const elapsedMs = nowMs - run.sampledAtMs;
    if (elapsedMs < MinSampleMs) {
        return;
    }
    const speed = sampleSpeed(run, row, elapsedMs);
    run.sampledAtMs = nowMs;
    run.progressPercent = row.progressPercent;
    if (speed !== undefined && speed >= 0) {
        const weight = Math.min(1, elapsedMs / AverageMs) / 2;
        life.speed += (Math.min(MaxSpeed, relativeSpeed(task.step, speed)) - life.speed) * weight;
        life.speedUpdatedAtMs = nowMs;
    }
};
