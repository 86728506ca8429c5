import { isOpenToStep } from "./is-open-to-step.js";
import type { Run } from "./run.js";
import type { Step } from "./step.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Time at which a run is expected to end, by its estimate and its worker's speed; Infinity for a lasting one. */
const expectedEndMs = ({ task, worker, startedAtMs, isStopRequested }: Run, nowMs: number): number => {
    const { lasting, estimatedMs } = task.step.spec;
    if (isStopRequested) {
        return nowMs;
    }
    return lasting ? Infinity : Math.max(nowMs, startedAtMs + estimatedMs / worker.speed);
};

/** Time at which the ends of its runs leave room for a task on a worker; Infinity if they never do. */
const roomMs = (worker: WorkerIncarnation, step: Step, nowMs: number): number => {
    const { capacity } = worker.entry;
    let reserved = worker.reservedFromOthers(step);
    if (step.reservation.fitsBeside(reserved, capacity)) {
        return nowMs;
    }
    const ends = [...worker.runs.values()].map(run => ({ run, endMs: expectedEndMs(run, nowMs) }));
    for (const { run, endMs } of ends.sort((a, b) => a.endMs - b.endMs)) {
        reserved = reserved.minus(run.reservation);
        if (step.reservation.fitsBeside(reserved, capacity)) {
            return endMs;
        }
    }
    return Infinity;
};

/**
 * Returns the monotonic time at which the first worker that is open to a step is expected to have room for one of its
 * tasks, if nothing else takes it; Infinity if that cannot be foreseen.
 */
export const earliestRoomMs = (
    workers: readonly WorkerIncarnation[],
    step: Step,
    service: string,
    nowMs: number,
): number => {
    let earliest = Infinity;
    for (const worker of workers) {
        if (worker.trialTask === undefined && isOpenToStep(worker, step, service, nowMs)) {
            earliest = Math.min(earliest, roomMs(worker, step, nowMs));
        }
    }
    return earliest;
};
