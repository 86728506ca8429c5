import type { StepSpec } from "./step-spec.js";

/** Estimated time of a job whose tasks all start as soon as their steps open, in milliseconds. */
export const criticalPathMs = (steps: readonly StepSpec[]): number => {
    const endsMs: number[] = [];
    for (const { after, estimatedMs } of steps) {
        endsMs.push(estimatedMs + Math.max(0, ...after.map(number => endsMs[number] ?? 0)));
    }
    return Math.max(0, ...endsMs);
};
