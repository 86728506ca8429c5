import type { NeighbourEffects } from "./neighbour-effects.js";
import { requestedFillerShares } from "./requested-filler-shares.js";
import { RunPhase } from "./run-phase.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Time between two plans of a worker's pace, in milliseconds. */
const PlanIntervalMs = 250;
/** An order takes effect after this time and holds until the next plan has taken effect. */
const EffectMs = 150;
/** Headroom that is left to serving tasks at every moment: 1 is a tail at its target. */
const LeastHeadroom = 1;
/** Standard deviations of the forecast that are left as well. */
const Caution = 0.3;
/** Headroom that all fillers of an image may take whatever else is there. */
const HarmlessTake = 0.12;
/** Below this share fillers stand still. */
const LeastPercent = 5;
/** Share of their requests that serving tasks use on average. */
const ServingUse = 0.42;
/** Time over its target after which all fillers beside a serving task stand still, whatever is known of them. */
const StandStillAfterMs = 1_800;

/** Headroom that fillers may take, by serving image. */
const budgetsOf = (
    life: WorkerIncarnation,
    effects: NeighbourEffects,
    nowMs: number,
): Map<string, number> => {
    const budgets = new Map<string, number>();
    for (const run of life.runs.values()) {
        const { image, tailTargetMs } = run.task.step.spec;
        if (tailTargetMs > 0 && run.phase === RunPhase.Running && !run.isStopRequested) {
            const headroom = Math.min(
                effects.headroomLowerBound(run, nowMs + EffectMs, Caution),
                effects.headroomLowerBound(run, nowMs + EffectMs + PlanIntervalMs, Caution),
            );
            const budget = Math.max(0, headroom - LeastHeadroom) * life.paceBudgetFactor;
            budgets.set(image, Math.min(budget, budgets.get(image) ?? Infinity));
        }
    }
    return budgets;
};

/** Shares of the worker's processors that its fillers would use at full pace, by image. */
const demandOf = (life: WorkerIncarnation): Map<string, number> => {
    const { processors } = life.entry.capacity;
    let unused = 1;
    for (const run of life.runs.values()) {
        const { filler, resources, tailTargetMs } = run.task.step.spec;
        const use = tailTargetMs > 0 ? ServingUse : 1;
        unused -= filler ? 0 : (resources.processors * use) / processors;
    }
    const wanted = requestedFillerShares(life);
    const total = [...wanted.values()].reduce((sum, share) => sum + share, 0);
    const scale = total === 0 ? 1 : Math.min(1, Math.max(0, unused) / total);
    return new Map([...wanted].map(([image, share]) => [image, share * scale]));
};

const paceAt = (life: WorkerIncarnation, image: string, share: number): void => {
    const percent = Math.floor(share * 100);
    if (percent >= 100) {
        life.pacePercentByImage.delete(image);
    } else {
        life.pacePercentByImage.set(image, percent < LeastPercent ? 0 : percent);
    }
};

/** Gives the fillers of each image what the serving tasks can spare; those that take least for their work first. */
const shareOut = (
    life: WorkerIncarnation,
    effects: NeighbourEffects,
    budgets: Map<string, number>,
    demand: ReadonlyMap<string, number>,
): void => {
    const cost = (filler: string): number =>
        Math.max(
            ...[...budgets].map(([image, left]) => effects.effect(image, filler) / (left + HarmlessTake)),
        );
    const ordered = [...demand].map(([image, wanted]) => ({ image, wanted, cost: cost(image) }));
    ordered.sort((a, b) => a.cost - b.cost);
    for (const { image, wanted } of ordered) {
        let share = 1;
        for (const [serving, left] of budgets) {
            const take = effects.effect(serving, image) * wanted;
            if (take > HarmlessTake) {
                share = Math.min(share, left / take);
            }
        }
        for (const [serving, left] of budgets) {
            budgets.set(serving, Math.max(0, left - effects.effect(serving, image) * wanted * share));
        }
        paceAt(life, image, share);
    }
};

const planWorker = (life: WorkerIncarnation, effects: NeighbourEffects, nowMs: number): void => {
    const budgets = budgetsOf(life, effects, nowMs);
    const demand = demandOf(life);
    life.pacePercentByImage.clear();
    if (life.overTargetSinceMs !== undefined && nowMs - life.overTargetSinceMs >= StandStillAfterMs) {
        demand.forEach((_, image) => life.pacePercentByImage.set(image, 0));
    } else if (budgets.size > 0) {
        shareOut(life, effects, budgets, demand);
    }
};

/** Sets the pace of the fillers of each worker to what its serving tasks are expected to bear until the next plan. */
export const planPace = (fleet: WorkerFleet, effects: NeighbourEffects, nowMs: number): void => {
    for (const life of fleet.workers) {
        if (life.isReachable && nowMs - life.pacePlannedAtMs >= PlanIntervalMs) {
            life.pacePlannedAtMs = nowMs;
            planWorker(life, effects, nowMs);
        }
    }
};
