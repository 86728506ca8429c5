import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";
import { WorkerLoss } from "./worker-loss.js";

/** Two losses whose last contacts are closer than this may have one cause. */
const SameTimeMs = 1_500;

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

/**
 * Probability that what took other workers at the same time took this one as well, 0 to 1: the share of its rack or of the
 * cell that was lost, whichever is larger. Counts the other `recorded` losses and the workers that do not answer now.
 */
export const sharedLossProbability = (
    loss: WorkerLoss,
    recorded: readonly WorkerLoss[],
    fleet: WorkerFleet,
    nowMs: number,
): number => {
    const silent = [...fleet.workers].filter(
        worker => !worker.isReachable && !worker.isLost && worker.hasListedRuns,
    );
    const losses = [...recorded, ...silent.map(worker => WorkerLoss.create(worker, nowMs))];
    const lost = independentLosses(loss, losses).map(({ worker }) => worker);
    const workers = [...fleet.workers, ...losses.map(({ worker }) => worker)];
    const { rack } = loss.worker.entry;
    const isOnRack = (worker: WorkerIncarnation): boolean => worker.entry.rack === rack;
    return Math.max(
        countAddresses(lost) / countAddresses(workers),
        countAddresses(lost.filter(isOnRack)) / countAddresses(workers.filter(isOnRack)),
    );
};
