import type { EvacuationProgress } from "./evacuation-progress.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Number of runs that may be on a worker, with unanswered starts that it may still carry out. */
const countRuns = ({ runs, orphanRuns, lateStarts }: WorkerIncarnation): number => {
    let count = runs.size + orphanRuns.size;
    for (const [task, { isOver }] of lateStarts) {
        count += isOver || runs.has(task) ? 0 : 1;
    }
    return count;
};

/**
 * Returns what is left in each evacuated data centre. While workers of previous owners are unread (`unreadWorkers` is
 * above 0), no data centre counts as empty, since these workers may be in any of them.
 */
export const evacuationProgressOf = (fleet: WorkerFleet, unreadWorkers: number): EvacuationProgress[] =>
    [...fleet.evacuatedDataCentres].sort().map(dataCentre => {
        const workers = [...fleet.workers].filter(({ entry }) => entry.zone === dataCentre);
        const runs = workers.reduce((sum, worker) => sum + countRuns(worker), 0);
        const areRead = workers.every(worker => worker.hasListedRuns || worker.isEnded);
        return { dataCentre, runs, isComplete: runs === 0 && areRead && unreadWorkers === 0 };
    });
