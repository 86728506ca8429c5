import type { StepProgress } from "./step-progress.js";

/** Durable state of an open occurrence. */
export interface OccurrenceProgress {
    readonly number: number;
    readonly steps: readonly StepProgress[];
}
