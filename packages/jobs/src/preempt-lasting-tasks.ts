import { isSuitable } from "./is-suitable.js";
import { PreemptionCandidates } from "./preemption-candidates.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import { ProjectedCapacity } from "./projected-capacity.js";
import { StopReason } from "./stop-reason.js";
import type { WaitingTask } from "./waiting-task.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** A short task waits this long for room before a lasting one makes way. */
const WaitMs = 150;
/** A lasting task that made way stays away this long, so that it does not take the room that it has left. */
const AwayMs = 800;
/** Lasting tasks that make way in one plan. */
const MaxEvictions = 6;

/** A worker whose room, free or being freed, is enough for a task that waits. */
const findPlace = (
    fleet: WorkerFleet,
    room: ProjectedCapacity,
    { task, service }: WaitingTask,
    nowMs: number,
): WorkerIncarnation | undefined => {
    for (const life of fleet.workers) {
        if (room.fits(life, task.step.reservation) && isSuitable(life, task, service, nowMs)) {
            return life;
        }
    }
    return undefined;
};

/**
 * Marks lasting tasks that make way for short ones without room. Per processor and second a short task is worth
 * several times as much, and it is over soon. The room of one may serve several short tasks.
 */
export const preemptLastingTasks = (
    fleet: WorkerFleet,
    waiting: readonly WaitingTask[],
    effects: NeighbourEffects,
    nowMs: number,
): void => {
    const late = waiting.filter(({ task }) => nowMs - (task.readySinceMs ?? nowMs) >= WaitMs);
    if (late.length === 0) {
        return;
    }
    const room = ProjectedCapacity.create(fleet.workers);
    const order = PreemptionCandidates.create(fleet, effects, nowMs);
    let evictions = 0;
    for (const each of late) {
        const { task, service } = each;
        let place = findPlace(fleet, room, each, nowMs);
        if (place === undefined && evictions < MaxEvictions) {
            const run = order.take(task, service);
            if (run !== undefined) {
                run.stopReason = StopReason.Preempted;
                run.task.notBeforeMs = nowMs + AwayMs;
                room.release(run.worker, run.reservation);
                place = run.worker;
                evictions++;
            }
        }
        if (place !== undefined) {
            room.reserve(place, task.step.reservation);
        }
    }
};
