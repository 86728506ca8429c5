import type { WorkerFleet } from "./worker-fleet.js";

/** The time and the workers for which candidates are sorted. */
export interface OrderSituation {
    /** Milliseconds since 1970. */
    readonly wallMs: number;
    /** Monotonic time, in milliseconds. */
    readonly nowMs: number;
    readonly fleet: WorkerFleet;
}
