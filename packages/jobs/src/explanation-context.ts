import type { JobRegistry } from "./job-registry.js";
import type { NeighbourEffects } from "./neighbour-effects.js";
import type { QueueRules } from "./queue-rules.js";
import type { StartOrder } from "./start-order.js";
import type { WorkerFleet } from "./worker-fleet.js";

/** The state of a cell that an explanation reads, and the time for which it is made. */
export interface ExplanationContext {
    readonly jobs: JobRegistry;
    readonly fleet: WorkerFleet;
    readonly rules: QueueRules;
    readonly effects: NeighbourEffects;
    /** Order of the cell's plans. */
    readonly order: StartOrder;
    /** Whether a worker that has not listed its runs may have some of the job, so that none of its tasks start. */
    readonly isBlocked: (job: string) => boolean;
    /** Monotonic time, in milliseconds. */
    readonly nowMs: number;
    /** Milliseconds since 1970. */
    readonly wallMs: number;
}
