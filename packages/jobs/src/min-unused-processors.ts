import type { StepSpec } from "./step-spec.js";

/** Share of a filler's request that must be unused on a worker for the filler to start there. */
const MinUnusedRequestRatio = 0.5;

/** Number of processors that must be unused on a worker that counts as a good fit for the tasks of a filler step. */
export const minUnusedProcessors = ({ resources }: StepSpec): number =>
    resources.processors * MinUnusedRequestRatio;
