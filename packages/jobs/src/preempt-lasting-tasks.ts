import { isSuitable } from "./is-suitable.js";
import { preemptRun } from "./preempt-run.js";
import { PreemptionCandidates } from "./preemption-candidates.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import { ProjectedCapacity } from "./projected-capacity.js";
import type { WaitingTask } from "./waiting-task.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** A short task waits this long for capacity before a lasting task is preempted. */
const PreemptionDelayMs = 150;
/** Most lasting tasks that one plan preempts. */
const MaxPreemptionsPerPlan = 6;

/** What the preemptions of one plan depend on. */
interface PreemptionContext {
    readonly fleet: WorkerFleet;
    readonly effects: NeighbourEffects;
    readonly nowMs: number;
    /** Whether the tasks of a job cannot start now. */
    readonly isBlocked: (job: string) => boolean;
}

/** Finds a worker whose free or soon freed capacity is enough for a waiting task. */
const findWorker = (
    fleet: WorkerFleet,
    capacity: ProjectedCapacity,
    { task, service }: WaitingTask,
    nowMs: number,
): WorkerIncarnation | undefined => {
    for (const worker of fleet.workers) {
        if (capacity.fits(worker, task.step.reservation) && isSuitable(worker, task, service, nowMs)) {
            return worker;
        }
    }
    return undefined;
};

/**
 * Marks lasting tasks to preempt for short tasks without capacity. Per processor and second a short task is worth
 * several times as much, and it ends soon. The capacity of one lasting task may serve several short tasks.
 */
export const preemptLastingTasks = (waiting: readonly WaitingTask[], context: PreemptionContext): void => {
    const { fleet, nowMs } = context;
    const overdue = waiting.filter(({ task }) => nowMs - (task.readySinceMs ?? nowMs) >= PreemptionDelayMs);
    if (overdue.length === 0) {
        return;
    }
    const capacity = ProjectedCapacity.create(fleet.workers);
    const candidates = PreemptionCandidates.create(context);
    let preemptions = 0;
    for (const waitingTask of overdue) {
        const { task, service } = waitingTask;
        let worker = findWorker(fleet, capacity, waitingTask, nowMs);
        if (worker === undefined && preemptions < MaxPreemptionsPerPlan) {
            const run = candidates.takeFor(task, service);
            if (run !== undefined) {
                preemptRun(run, nowMs);
                capacity.release(run.worker, run.reservation);
                worker = run.worker;
                preemptions++;
            }
        }
        if (worker !== undefined) {
            capacity.reserve(worker, task.step.reservation);
        }
    }
};
