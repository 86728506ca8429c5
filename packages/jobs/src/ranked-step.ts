import type { Step } from "./step.js";

/** An open step with a ready task, and the service whose workers may run it. */
export interface RankedStep {
    readonly step: Step;
    readonly service: string;
}
