import type { Step } from "./step.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** A request to the permit service, which decides on which workers a step may run. */
export interface PermitRequest {
    readonly step: Step;
    readonly workers: readonly WorkerIncarnation[];
}
