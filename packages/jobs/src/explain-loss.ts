import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";
import { WorkerLoss } from "./worker-loss.js";

/** Two losses whose last contacts are closer than this may have one cause. */
const SameTimeMs = 1_500;
/** Fewest workers that count as a lost group, and the share of the group that they must be. */
const MinGroupLosses = 3;
const GroupShare = 0.5;
/** Share of the cell whose loss at the same time casts doubt on the blame of a task. */
const DoubtShare = 0.1;
/** A worker that was lost this often without a trial in this time is lost for reasons of its own. */
const FlapLosses = 2;
const FlapPeriodMs = 60_000;

/** What else explains the loss of a worker than the tasks that ran there. */
interface LossExplanation {
    /** Most of the rack or of the cell was lost at the same time. */
    readonly isGroupLost: boolean;
    /** Several other workers were lost at the same time, or this one is often lost. */
    readonly isDoubtful: boolean;
}

/**
 * Losses at the same time as this one that no trial and not the same job explains. One job has caused this loss at most, so
 * those are left out that share the job which explains most of them.
 */
const independentLosses = (loss: WorkerLoss, losses: readonly WorkerLoss[]): readonly WorkerLoss[] => {
    const atSameTime = losses.filter(
        other =>
            other !== loss &&
            !other.hasTrial &&
            !other.worker.entry.isDraining &&
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

/** Explains a loss by the other `recorded` losses and by the workers that do not answer now. */
export const explainLoss = (
    loss: WorkerLoss,
    recorded: readonly WorkerLoss[],
    fleet: WorkerFleet,
    nowMs: number,
): LossExplanation => {
    const silent = [...fleet.workers].filter(
        worker => !worker.isReachable && !worker.isLost && worker.hasListedRuns,
    );
    const losses = [...recorded, ...silent.map(worker => WorkerLoss.create(worker, nowMs))];
    const independent = independentLosses(loss, losses);
    const workers = [...fleet.workers, ...losses.map(({ worker }) => worker)];
    const isLost = (isInGroup: (worker: WorkerIncarnation) => boolean): boolean => {
        const lost = countAddresses(
            independent.map(({ worker }) => worker).filter(worker => isInGroup(worker)),
        );
        const size = countAddresses(workers.filter(worker => isInGroup(worker)));
        return lost + 1 >= Math.max(MinGroupLosses, size * GroupShare);
    };
    const { rack, address } = loss.worker.entry;
    const earlier = recorded.filter(
        other =>
            !other.hasTrial &&
            other.worker.entry.address === address &&
            other.lostAtMs < loss.lostAtMs &&
            loss.lostAtMs - other.lostAtMs < FlapPeriodMs,
    );
    const doubtCount = Math.max(MinGroupLosses, countAddresses(workers) * DoubtShare);
    return {
        isGroupLost: isLost(worker => worker.entry.rack === rack) || isLost(() => true),
        isDoubtful: independent.length >= doubtCount || earlier.length >= FlapLosses,
    };
};
