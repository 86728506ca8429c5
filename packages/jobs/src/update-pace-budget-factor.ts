import { RunPhase } from "./run-phase.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** The budget factor is multiplied by this with each listing in which a serving task is over its target. */
const OverTargetMultiplier = 0.6;
/** The budget factor is increased by this with each listing in which none is. */
const RecoveryStep = 0.1;
const MinPaceBudgetFactor = 0.1;

/**
 * Reduces the headroom budget of a worker's fillers while its latest listing shows a serving task over its target, and
 * restores it gradually afterwards. The estimates, learned on all workers, then do not hold for this one.
 */
export const updatePaceBudgetFactor = (worker: WorkerIncarnation, nowMs: number): void => {
    let isOverTarget = false;
    for (const run of worker.runs.values()) {
        const { tailTargetMs } = run.task.step.spec;
        isOverTarget ||= tailTargetMs > 0 && run.phase === RunPhase.Running && run.gauge > tailTargetMs;
    }
    worker.overTargetSinceMs = isOverTarget ? (worker.overTargetSinceMs ?? nowMs) : undefined;
    worker.paceBudgetFactor = isOverTarget
        ? Math.max(MinPaceBudgetFactor, worker.paceBudgetFactor * OverTargetMultiplier)
        : Math.min(1, worker.paceBudgetFactor + RecoveryStep);
};
