import type { WorkerEntry } from "./worker-entry.js";
import type { WorkerFleet } from "./worker-fleet.js";

/** Whether another incarnation or another worker has taken the place of a worker. */
export const isReplaced = (
    entry: Pick<WorkerEntry, "id" | "address" | "startedAtMs">,
    fleet: WorkerFleet,
): boolean =>
    [...fleet.workers].some(
        ({ entry: other }) =>
            other.startedAtMs > entry.startedAtMs &&
            (other.id === entry.id || other.address === entry.address),
    );
