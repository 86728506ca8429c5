import type { PlacementDecision } from "./placement-decision.js";
import type { PlacementRequest } from "./placement-request.js";
import type { WorkerView } from "./worker-view.js";

/** Chooses a worker for a task. A policy never chooses a worker with too few free resources. */
export abstract class PlacementPolicy {
    abstract readonly name: string;

    abstract choose(request: PlacementRequest, workers: readonly WorkerView[]): PlacementDecision;
}
