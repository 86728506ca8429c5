import type { NeighbourEffects } from "./neighbour-effects.js";
import { requestedFillerShares } from "./requested-filler-shares.js";
import { RunPhase } from "./run-phase.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Time between two plans of a worker's pace. */
const PlanIntervalMs = 250;
/** Delay until an order takes effect; the pace then holds until the next plan has taken effect. */
const OrderLatencyMs = 150;
/** Headroom that serving tasks keep at all times; at 1, the tail latency equals its target. */
const MinHeadroom = 1;
/** Additional safety margin, in standard deviations of the forecast. */
const ForecastMarginDeviations = 0.3;
/** Fillers of an image that take no more headroom than this together are not slowed down. */
const NegligibleTake = 0.12;
/** Fillers that would get a lower pace than this are paused. */
const MinPacePercent = 5;
/** Share of their request that serving tasks use on average. Placement, which lasts, reckons with more. */
const MeanServingUseRatio = 0.42;
/** Time over its target after which all fillers beside a serving task are paused, regardless of the estimates. */
const PauseAfterOverTargetMs = 1_800;

/** Headroom that fillers may take, by serving image. */
const budgetsOf = (
    worker: WorkerIncarnation,
    effects: NeighbourEffects,
    nowMs: number,
): Map<string, number> => {
    const budgets = new Map<string, number>();
    for (const run of worker.runs.values()) {
        const { image, tailTargetMs } = run.task.step.spec;
        if (tailTargetMs > 0 && run.phase === RunPhase.Running && !run.isStopRequested) {
            const headroom = Math.min(
                effects.headroomLowerBound(run, nowMs + OrderLatencyMs, ForecastMarginDeviations),
                effects.headroomLowerBound(
                    run,
                    nowMs + OrderLatencyMs + PlanIntervalMs,
                    ForecastMarginDeviations,
                ),
            );
            const budget = Math.max(0, headroom - MinHeadroom) * worker.paceBudgetFactor;
            budgets.set(image, Math.min(budget, budgets.get(image) ?? Infinity));
        }
    }
    return budgets;
};

/** Shares of the worker's processors that its fillers would use at full pace, by image. */
const demandOf = (worker: WorkerIncarnation): Map<string, number> => {
    const { processors } = worker.entry.capacity;
    let unused = 1;
    for (const run of worker.runs.values()) {
        const { filler, resources, tailTargetMs } = run.task.step.spec;
        const use = tailTargetMs > 0 ? MeanServingUseRatio : 1;
        unused -= filler ? 0 : (resources.processors * use) / processors;
    }
    const requested = requestedFillerShares(worker);
    const total = [...requested.values()].reduce((sum, share) => sum + share, 0);
    const scale = total === 0 ? 1 : Math.min(1, Math.max(0, unused) / total);
    return new Map([...requested].map(([image, share]) => [image, share * scale]));
};

const setPace = (worker: WorkerIncarnation, image: string, share: number): void => {
    const percent = Math.floor(share * 100);
    if (percent >= 100) {
        worker.pacePercentByImage.delete(image);
    } else {
        worker.pacePercentByImage.set(image, percent < MinPacePercent ? 0 : percent);
    }
};

/** Distributes the headroom budgets over the filler images, those with the lowest cost per processor first. */
const distributeBudgets = (
    worker: WorkerIncarnation,
    effects: NeighbourEffects,
    budgets: Map<string, number>,
    demand: ReadonlyMap<string, number>,
): void => {
    const cost = (filler: string): number =>
        Math.max(
            ...[...budgets].map(([image, left]) => effects.effect(image, filler) / (left + NegligibleTake)),
        );
    const ordered = [...demand].map(([image, requested]) => ({ image, requested, cost: cost(image) }));
    ordered.sort((a, b) => a.cost - b.cost);
    for (const { image, requested } of ordered) {
        let share = 1;
        for (const [serving, left] of budgets) {
            const take = effects.effect(serving, image) * requested;
            if (take > NegligibleTake) {
                share = Math.min(share, left / take);
            }
        }
        for (const [serving, left] of budgets) {
            budgets.set(serving, Math.max(0, left - effects.effect(serving, image) * requested * share));
        }
        setPace(worker, image, share);
    }
};

const planWorker = (worker: WorkerIncarnation, effects: NeighbourEffects, nowMs: number): void => {
    const budgets = budgetsOf(worker, effects, nowMs);
    const demand = demandOf(worker);
    worker.pacePercentByImage.clear();
    if (
        worker.overTargetSinceMs !== undefined &&
        nowMs - worker.overTargetSinceMs >= PauseAfterOverTargetMs
    ) {
        demand.forEach((_, image) => worker.pacePercentByImage.set(image, 0));
    } else if (budgets.size > 0) {
        distributeBudgets(worker, effects, budgets, demand);
    }
};

/** Sets the pace of each worker's fillers to what its serving tasks are expected to tolerate until the next plan. */
export const planPace = (fleet: WorkerFleet, effects: NeighbourEffects, nowMs: number): void => {
    for (const worker of fleet.workers) {
        if (worker.isReachable && nowMs - worker.pacePlannedAtMs >= PlanIntervalMs) {
            worker.pacePlannedAtMs = nowMs;
            planWorker(worker, effects, nowMs);
        }
    }
};
