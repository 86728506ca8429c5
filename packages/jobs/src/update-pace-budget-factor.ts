import { RunPhase } from "./run-phase.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Factor on what fillers may take while a serving task is over its target. */
const OverFactor = 0.6;
/** Rise of that factor with each listing in which none is. */
const Rise = 0.1;
const LeastLimit = 0.1;

/**
 * Takes note of serving tasks over their targets in what a worker has just listed. Its fillers get less than the
 * estimates allow for a while: something about this worker is not as learned elsewhere.
 */
export const updatePaceBudgetFactor = (life: WorkerIncarnation, nowMs: number): void => {
    let isOver = false;
    for (const run of life.runs.values()) {
        const { tailTargetMs } = run.task.step.spec;
        isOver ||= tailTargetMs > 0 && run.phase === RunPhase.Running && run.gauge > tailTargetMs;
    }
    life.overTargetSinceMs = isOver ? (life.overTargetSinceMs ?? nowMs) : undefined;
    life.paceBudgetFactor = isOver
        ? Math.max(LeastLimit, life.paceBudgetFactor * OverFactor)
        : Math.min(1, life.paceBudgetFactor + Rise);
};
