import type { Step } from "./step.js";

/** How long tasks are expected to take, relative to the submitters' estimates. */
export abstract class StepEstimates {
    /** Learns from a step once its tasks' speed has been measured. */
    abstract learn(step: Step): void;

    /** Expected duration of a task relative to its estimate. */
    abstract factorOf(step: Step): number;

    /** Share of the expected duration to add where a result has to be in time. */
    abstract unsureShareOf(step: Step): number;
}
