import type { WorkerFleet } from "./worker-fleet.js";

/** The time and the workers for which a start order is made. */
export interface OrderSituation {
    readonly wallMs: number;
    readonly nowMs: number;
    readonly fleet: WorkerFleet;
}
