import { overdueTasks } from "./overdue-tasks.js";
import type { Step } from "./step.js";

/** Longest time that an overdue task of the step has waited, in milliseconds; undefined if none is overdue. */
export const longestOverdueMs = (step: Step, nowMs: number): number | undefined => {
    const [first] = overdueTasks(step, nowMs);
    return first === undefined ? undefined : nowMs - (first.readySinceMs ?? nowMs);
};
