import type { Task } from "./task.js";

/** Name of a task without its job, `occurrence.step.index`. */
export const taskPosition = ({ name, step }: Task): string =>
    name.slice(step.occurrence.job.spec.id.length + 1);
