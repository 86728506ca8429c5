import type { ListedRun } from "./listed-run.js";
import type { Run } from "./run.js";
import type { Step } from "./step.js";

/** Shortest time between two readings of a run's progress. */
const MinSampleIntervalMs = 350;
/** Time window over which a worker's speed is averaged. */
const SpeedAverageMs = 1_500;
/** A filler that uses less than this share of its request is no measure of its worker's speed. */
const MinFillerUseRatio = 0.1;
const MillicoresPerCore = 1_000;
/** Upper bound of a run's speed relative to its step's mean. */
const MaxRelativeSpeed = 1.5;
const StepMeanWeight = 0.15;
/** A task that is slower than this, relative to its estimate, counts as stalled. */
const StalledSpeed = 0.03;

/** Speed of a run since its last reading, relative to its estimate; undefined if it cannot be measured. */
const sampleSpeed = (run: Run, listed: ListedRun, elapsedMs: number): number | undefined => {
    const { spec } = run.task.step;
    const doneMs = ((listed.progressPercent - run.progressPercent) / 100) * spec.estimatedMs;
    if (!spec.filler) {
        return doneMs / elapsedMs;
    }
    const share = listed.gauge / MillicoresPerCore / Math.max(spec.resources.processors, 0.001);
    return share < MinFillerUseRatio ? undefined : doneMs / (elapsedMs * share);
};

/** Speed relative to the step's mean: estimates are off by up to a factor of two, but tasks of a step are alike. */
const relativeSpeed = (step: Step, speed: number): number => {
    if (speed < StalledSpeed) {
        return 0;
    }
    const mean = step.meanRelativeSpeed ?? speed;
    step.meanRelativeSpeed = mean + (speed - mean) * StepMeanWeight;
    return speed / mean;
};

/** Updates a worker's speed by the progress that it has just listed for a run. */
export const trackSpeed = (run: Run, listed: ListedRun, nowMs: number): void => {
    const { worker, task } = run;
    if (task.step.spec.lasting || listed.progressPercent >= 100 || run.sampledAtMs === 0) {
        run.sampledAtMs = nowMs;
        run.progressPercent = listed.progressPercent;
        return;
    }
    const elapsedMs = nowMs - run.sampledAtMs;
    if (elapsedMs < MinSampleIntervalMs) {
        return;
    }
    const speed = sampleSpeed(run, listed, elapsedMs);
    run.sampledAtMs = nowMs;
    run.progressPercent = listed.progressPercent;
    if (speed !== undefined && speed >= 0) {
        const weight = Math.min(1, elapsedMs / SpeedAverageMs) / 2;
        worker.speed += (Math.min(MaxRelativeSpeed, relativeSpeed(task.step, speed)) - worker.speed) * weight;
        worker.speedUpdatedAtMs = nowMs;
    }
};
