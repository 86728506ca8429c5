import { minNeighbourAgeMs } from "./min-neighbour-age-ms.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import type { Task } from "./task.js";
import type { Trials } from "./trials.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";
import { WorkerRanking } from "./worker-ranking.js";

/** Conditions of the choice that do not depend on the worker. */
interface TrialChoice {
    readonly task: Task;
    readonly service: string;
    readonly nowMs: number;
    readonly requiresGoodFit: boolean;
}

const runsSuspect = (worker: WorkerIncarnation): boolean =>
    [...worker.runs.values()].some(({ task }) => task.suspicion > 0);

const hasRecentStart = (worker: WorkerIncarnation, nowMs: number): boolean =>
    [...worker.runs.values()].some(({ startedAtMs }) => nowMs - startedAtMs < minNeighbourAgeMs);

/**
 * Chooses the worker for a trial: one without another suspected task, if possible without a run that has just started,
 * and on a rack without a trial, so that a crash points to one task and a lost rack is told from it.
 */
export const chooseTrialWorker = (
    workers: Iterable<WorkerIncarnation>,
    trials: Trials,
    effects: NeighbourEffects,
    { task, service, nowMs, requiresGoodFit }: TrialChoice,
): WorkerIncarnation | undefined => {
    const choose = (candidates: readonly WorkerIncarnation[]): WorkerIncarnation | undefined =>
        WorkerRanking.create({
            workers: candidates,
            step: task.step,
            service,
            effects,
            nowMs,
            requiresGoodFit,
        }).choose(task);
    const separate = [...workers].filter(worker => worker.trialTask === undefined && !runsSuspect(worker));
    const quiet = separate.filter(worker => !hasRecentStart(worker, nowMs));
    const apart = quiet.filter(({ entry }) => !trials.isOnRack(entry.rack));
    return choose(apart) ?? choose(quiet) ?? choose(separate);
};
