import type { Step } from "./step.js";
import { unavailableTasks } from "./unavailable-tasks.js";

/** Whether a lasting step allows one more of its tasks to be made unavailable. */
export const allowsUnavailableTask = (step: Step): boolean =>
    step.spec.maxUnavailable === undefined || unavailableTasks(step) < step.spec.maxUnavailable;
