import type { WorkerFleet } from "./worker-fleet.js";

/** The time and the workers for which a start order is made. */
export interface OrderSituation {
    /** Milliseconds since 1970. */
    readonly wallMs: number;
    /** Monotonic time, in milliseconds. */
    readonly nowMs: number;
    readonly fleet: WorkerFleet;
}
