import type { Task } from "./task.js";

/**
 * Whether the next crash under a task may end its job. A previous owner of an inherited job may have ended before it noticed
 * a crash.
 */
export const isNearLimit = ({ suspicion, crashes, step }: Task): boolean =>
    suspicion > 0 && crashes.evidence.isNearLimit(step.occurrence.job.isInherited);
