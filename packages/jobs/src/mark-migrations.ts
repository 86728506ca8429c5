import { chooseWorker } from "./choose-worker.js";
import { isSlowWorker } from "./is-slow-worker.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import type { QueueRules } from "./queue-rules.js";
import type { Run } from "./run.js";
import { RunPhase } from "./run-phase.js";
import { StopReason } from "./stop-reason.js";
import type { WorkerFleet } from "./worker-fleet.js";

/** Pace below which a filler is slow. */
const SlowPercent = 50;
/** A filler that has been slow for this long moves, if another worker can take it. */
const MoveAfterMs = 1_200;
/** A filler that has this much of its work done stays: the rest takes less time than the move. */
const NearlyDonePercent = 85;
/** Fillers that move at the same time; each takes a place that the others were counted on. */
const MaxMoves = 4;

/** Stop, end and start of a move. */
const MoveCostMs = 500;
/** A move has to pay for itself by this factor: estimates are rough. */
const WorthMoving = 1.5;
const LeastSpeed = 0.02;
/** Each move costs a stop and a start: a task that does no better elsewhere stays in the end. */
const MaxMovesOfTask = 2;

const isSlow = (run: Run, nowMs: number): boolean => {
    const { spec } = run.task.step;
    const slow =
        spec.filler &&
        spec.checkpoints &&
        run.phase === RunPhase.Running &&
        !run.isStopRequested &&
        run.task.run === run &&
        run.worker.isReachable &&
        run.worker.pacePercentFor(spec.image) < SlowPercent;
    run.lowPaceSinceMs = slow ? (run.lowPaceSinceMs ?? nowMs) : undefined;
    return run.lowPaceSinceMs !== undefined && nowMs - run.lowPaceSinceMs >= MoveAfterMs;
};

/** Whether a run on a slow worker would end sooner elsewhere, from its checkpoint or from the beginning. */
const isStraggler = (run: Run, nowMs: number): boolean => {
    const { worker: life, task } = run;
    const { spec } = task.step;
    const canMove =
        !spec.lasting &&
        !spec.gang &&
        run.phase === RunPhase.Running &&
        !run.isStopRequested &&
        task.run === run &&
        life.isReachable;
    if (!canMove || !isSlowWorker(life, nowMs)) {
        return false;
    }
    const left = 1 - run.progressPercent / 100;
    const hereMs = (left * spec.estimatedMs) / Math.max(life.speed, LeastSpeed);
    const elsewhereMs = (spec.checkpoints ? left : 1) * spec.estimatedMs + MoveCostMs;
    return hereMs > elsewhereMs * WorthMoving;
};

/**
 * Marks runs that would be done sooner elsewhere: fillers that are held back for serving tasks, and tasks on slow
 * workers. They stop, saved where they can be, and start again.
 */
export const markMigrations = (
    fleet: WorkerFleet,
    rules: QueueRules,
    effects: NeighbourEffects,
    nowMs: number,
): readonly Run[] => {
    const moves: Run[] = [];
    for (const life of fleet.workers) {
        for (const run of life.runs.values()) {
            const isHeldBack = isSlow(run, nowMs) && run.progressPercent < NearlyDonePercent;
            const mayMove = moves.length < MaxMoves && run.task.migrationCount < MaxMovesOfTask;
            if (mayMove && (isHeldBack || isStraggler(run, nowMs))) {
                const rule = rules.get(run.task.step.occurrence.job.spec.queue);
                const target =
                    rule === undefined
                        ? undefined
                        : chooseWorker(fleet.workers, run.task, rule.service, effects, nowMs);
                if (target !== undefined && !isSlowWorker(target, nowMs)) {
                    run.stopReason = StopReason.Migrated;
                    run.task.migrationCount++;
                    moves.push(run);
                }
            }
        }
    }
    return moves;
};
