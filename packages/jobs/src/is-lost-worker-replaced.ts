import { isReplaced } from "./is-replaced.js";
import type { LostWorker } from "./lost-worker.js";
import type { WorkerFleet } from "./worker-fleet.js";

/**
 * Whether another incarnation or another worker has taken the place of a stored worker. Earlier builds store no address, so
 * that the worker counts as replaced once it is not registered any more.
 */
export const isLostWorkerReplaced = ({ worker, address }: LostWorker, fleet: WorkerFleet): boolean => {
    const [id = "", startedAt] = worker.split("/");
    if (address === "" && fleet.get(id) === undefined) {
        return true;
    }
    return isReplaced({ id, address, startedAtMs: Number(startedAt) }, fleet);
};
