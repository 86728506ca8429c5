import { isOpenToStep } from "./is-open-to-step.js";
import { isReady } from "./is-ready.js";
import { isSuitable } from "./is-suitable.js";
import { ProjectedCapacity } from "./projected-capacity.js";
import type { RankedStep } from "./ranked-step.js";
import type { Run } from "./run.js";
import { StopReason } from "./stop-reason.js";
import type { Task } from "./task.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Most waiting tasks for which one plan stops copies. */
const MaxTasks = 16;

const isPreemptible = (copy: Run): boolean => copy.task.copy === copy && !copy.isStopRequested;

/** Whether a worker with a copy has room for a task of the step without its copy. */
const mayHelp = (copies: readonly Run[], { step, service }: RankedStep, nowMs: number): boolean => {
    for (const copy of copies) {
        const { worker, reservation } = copy;
        const others = worker.reservedFromOthers(step).minus(reservation);
        if (
            isPreemptible(copy) &&
            step.reservation.fitsBeside(others, worker.entry.capacity) &&
            isOpenToStep(worker, step, service, nowMs)
        ) {
            return true;
        }
    }
    return false;
};

const findCopy = (
    copies: readonly Run[],
    task: Task,
    service: string,
    capacity: ProjectedCapacity,
    nowMs: number,
): Run | undefined => {
    for (const copy of copies) {
        const needed = task.step.reservation.minus(copy.reservation);
        if (
            isPreemptible(copy) &&
            capacity.fits(copy.worker, needed) &&
            isSuitable(copy.worker, task, service, nowMs)
        ) {
            return copy;
        }
    }
    return undefined;
};

/** Marks copies to be stopped whose capacity is all that a waiting task lacks. */
export const preemptCopies = (
    waiting: readonly RankedStep[],
    copies: readonly Run[],
    fleet: WorkerFleet,
    nowMs: number,
): void => {
    let capacity: ProjectedCapacity | undefined;
    let count = 0;
    for (const each of waiting) {
        const { step, service } = each;
        if (step.spec.filler || count >= MaxTasks || !mayHelp(copies, each, nowMs)) {
            continue;
        }
        capacity ??= ProjectedCapacity.create(fleet.workers);
        for (const task of step.tasks) {
            if (!isReady(task, nowMs) || ++count > MaxTasks) {
                continue;
            }
            const copy = findCopy(copies, task, service, capacity, nowMs);
            if (copy === undefined) {
                break;
            }
            const withRoom = findWorkerWithRoom(task, service, capacity, fleet, nowMs);
            if (withRoom !== undefined) {
                capacity.reserve(withRoom, step.reservation);
            } else {
                copy.stopReason = StopReason.Preempted;
                capacity.release(copy.worker, copy.reservation.minus(step.reservation));
            }
        }
    }
};

/** Finds a worker on which the task has room already, or once runs that are being stopped have ended. */
const findWorkerWithRoom = (
    task: Task,
    service: string,
    capacity: ProjectedCapacity,
    fleet: WorkerFleet,
    nowMs: number,
): WorkerIncarnation | undefined => {
    for (const worker of fleet.workers) {
        if (capacity.fits(worker, task.step.reservation) && isSuitable(worker, task, service, nowMs)) {
            return worker;
        }
    }
    return undefined;
};
