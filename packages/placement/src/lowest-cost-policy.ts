import { WorkClass } from "@samphireward/core/work-class";
import { Err, Ok } from "ts-results-es";
import { hasRoom } from "./has-room.js";
import type { PlacementDecision } from "./placement-decision.js";
import { PlacementPolicy } from "./placement-policy.js";
import type { PlacementRequest } from "./placement-request.js";
import { WaitReason } from "./wait-reason.js";
import type { WorkerView } from "./worker-view.js";

/** Created once: each new `Err` captures a stack trace, which costs more than the decision. */
const noRoom: PlacementDecision = Err(WaitReason.NoRoom);
const wouldInterfere: PlacementDecision = Err(WaitReason.WouldInterfere);

/**
 * Chooses the worker with the lowest cost among those with room, and the first of several with equal cost. A
 * latency-critical task goes to a rack with the fewest tasks of its pool, so that the loss of a rack stops as few
 * of them as possible.
 */
export abstract class LowestCostPolicy extends PlacementPolicy {
    override choose(request: PlacementRequest, workers: readonly WorkerView[]): PlacementDecision {
        const spreadsOverRacks =
            request.workClass === WorkClass.LatencyCritical && request.runningTasksByRack !== undefined;
        let hasRoomSomewhere = false;
        let best: WorkerView | undefined;
        let bestCost = Infinity;
        let bestRackCount = Infinity;
        for (const worker of workers) {
            if (!hasRoom(worker, request)) {
                continue;
            }
            hasRoomSomewhere = true;
            const rackCount = spreadsOverRacks ? (request.runningTasksByRack?.get(worker.rack) ?? 0) : 0;
            if (rackCount > bestRackCount) {
                continue;
            }
            const cost = this.cost(worker, request);
            if (cost === Infinity) {
                continue;
            }
            if (best === undefined || rackCount < bestRackCount || cost < bestCost) {
                best = worker;
                bestCost = cost;
                bestRackCount = rackCount;
            }
        }
        if (best !== undefined) {
            return Ok(best.name);
        }
        return hasRoomSomewhere ? wouldInterfere : noRoom;
    }

    /** Cost of placing the task on the worker; `Infinity` if the task should rather wait. */
    protected abstract cost(worker: WorkerView, request: PlacementRequest): number;
}
