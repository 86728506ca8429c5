import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Workers that have answered this owner, do not answer now and are not taken for lost yet. */
export const silentWorkers = (fleet: WorkerFleet): readonly WorkerIncarnation[] =>
    [...fleet.workers].filter(worker => !worker.isReachable && !worker.isLost && worker.hasListedRuns);
