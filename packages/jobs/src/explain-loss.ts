import { silentWorkers } from "./silent-workers.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";
import { WorkerLoss } from "./worker-loss.js";

/** Two losses whose last contacts are closer than this may have one cause. */
const SameTimeMs = 1_500;
/** Fewest workers that count as a lost group, and the share of the group that they must be. */
const MinGroupLosses = 3;
const GroupShare = 0.5;

/**
 * Losses at the same time as this one that no trial and not the same job explains. One job has caused this loss at most, so
 * those are left out that share the job which explains most of them.
 */
const independentLosses = (loss: WorkerLoss, losses: readonly WorkerLoss[]): readonly WorkerLoss[] => {
    const atSameTime = losses.filter(
        other =>
            other !== loss &&
            other.isUnrelated &&
            other.worker.entry.address !== loss.worker.entry.address &&
            Math.abs(other.lostAtMs - loss.lostAtMs) < SameTimeMs,
    );
    let independent: readonly WorkerLoss[] = atSameTime;
    for (const job of loss.jobs) {
        const withoutJob = atSameTime.filter(other => !other.jobs.has(job));
        independent = withoutJob.length < independent.length ? withoutJob : independent;
    }
    return independent;
};

const countAddresses = (workers: readonly WorkerIncarnation[]): number =>
    new Set(workers.map(({ entry }) => entry.address)).size;

/** What else explains the loss of a worker than the tasks that ran there. */
interface LossExplanation {
    /** Most of the rack or of the cell was lost at the same time. */
    readonly isGroupLost: boolean;
    /** Probability that what took other workers at the same time took this one as well, 0 to 1. */
    readonly sharedLossProbability: number;
}

/**
 * Explains a loss by the other `recorded` losses and by the workers that do not answer now: by the share of its rack and of
 * the cell that was lost at the same time, whichever is larger.
 */
export const explainLoss = (
    loss: WorkerLoss,
    recorded: readonly WorkerLoss[],
    fleet: WorkerFleet,
    nowMs: number,
): LossExplanation => {
    const silent = silentWorkers(fleet);
    const losses = [...recorded, ...silent.map(worker => WorkerLoss.create(worker, nowMs))];
    const lost = independentLosses(loss, losses).map(({ worker }) => worker);
    const workers = [...fleet.workers, ...losses.map(({ worker }) => worker)];
    const { rack } = loss.worker.entry;
    const isOnRack = (worker: WorkerIncarnation): boolean => worker.entry.rack === rack;
    const groups = [
        { lost: countAddresses(lost), size: countAddresses(workers) },
        { lost: countAddresses(lost.filter(isOnRack)), size: countAddresses(workers.filter(isOnRack)) },
    ];
    return {
        isGroupLost: groups.some(
            group => group.lost + 1 >= Math.max(MinGroupLosses, group.size * GroupShare),
        ),
        sharedLossProbability: Math.max(...groups.map(group => group.lost / group.size)),
    };
};
